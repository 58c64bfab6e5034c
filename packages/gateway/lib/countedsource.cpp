#include "countedsource.h"

namespace rhubarbtiller::gateway {

static std::string_view readOperation(SourceTable table)
{
    switch (table) {
    case SourceTable::Configuration:
        return "read_configuration";
    case SourceTable::Servers:
        return "read_servers";
    case SourceTable::Hosts:
        return "read_hosts";
    case SourceTable::Status:
        return "read_status";
    }
    return "read";
}

static std::string_view watchOperation(SourceTable table)
{
    switch (table) {
    case SourceTable::Configuration:
        return "watch_configuration";
    case SourceTable::Servers:
        return "watch_servers";
    case SourceTable::Hosts:
        return "watch_hosts";
    case SourceTable::Status:
        return "watch_status";
    }
    return "watch";
}

static std::string_view resultName(const std::error_code &error)
{
    if (!error) {
        return "ok";
    }
    if (error == SourceError::HistoryGone) {
        return "history_gone";
    }
    if (error == SourceError::Unavailable) {
        return "unavailable";
    }
    if (error == SourceError::Conflict) {
        return "conflict";
    }
    return "failed";
}

StateSource::BatchHandler CountedSource::counted(std::string_view operation, BatchHandler handler)
{
    return [this, operation, handler = std::move(handler)](const Result<SourceBatch> &batch) {
        this->metrics.countStoreCall(operation, resultName(batch ? std::error_code() : batch.error()));
        handler(batch);
    };
}

void CountedSource::read(SourceTable table, BatchHandler handler)
{
    this->source.read(table, this->counted(readOperation(table), std::move(handler)));
}

void CountedSource::watch(SourceTable table, std::uint64_t after, std::chrono::milliseconds wait, BatchHandler handler)
{
    this->source.watch(table, after, wait, this->counted(watchOperation(table), std::move(handler)));
}

void CountedSource::write(SourceTable table, std::string key, std::string value, WriteHandler handler)
{
    this->source.write(table, std::move(key), std::move(value), [this, handler = std::move(handler)](Status error) {
        this->metrics.countStoreCall("write_hosts", resultName(error));
        handler(error);
    });
}

void CountedSource::write(SourceTable table, std::string key, std::string value, std::uint64_t expectedVersion, WriteHandler handler)
{
    auto counting = [this, handler = std::move(handler)](Status error) {
        this->metrics.countStoreCall("write_status", resultName(error));
        handler(error);
    };
    this->source.write(table, std::move(key), std::move(value), expectedVersion, std::move(counting));
}

} // namespace rhubarbtiller::gateway
