#include "requestlog.h"

#include <rhubarbtiller/telemetry/log.h>

#include <utility>

namespace rhubarbtiller::gateway {

/// Rate limit of the request log, above the usual load of an entry host; the reserve is for requests that were not answered.
static constexpr RequestRate LogLinesPerSecond(200);
static constexpr RequestCount LogLineBurst(400);
static constexpr double LogLineReserve = 200;

static std::int64_t milliseconds(Duration duration)
{
    return static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

bool RequestLog::tryConsumeLine(bool isAnswered, MonotonicTime now)
{
    this->lineBudget.reconfigure(LogLinesPerSecond, LogLineBurst);
    const bool isConsumed = isAnswered ? this->lineBudget.available(now) >= LogLineReserve && this->lineBudget.tryConsume(now)
                                       : this->lineBudget.tryConsume(now);
    this->omittedLines += isConsumed ? 0 : 1;
    return isConsumed;
}

void RequestLog::write(const RequestRecord &record)
{
    if (record.storeVersions) {
        telemetry::logEvent(telemetry::LogLevel::Info,
                            "refused_by_configuration",
                            {{"request", record.request.text()},
                             {"outcome", record.outcome},
                             {"configuration", record.configuration.count()},
                             {"store_version", record.storeVersions->first},
                             {"announced_store_version", record.storeVersions->second}});
    }
    if (record.queueRefusal) {
        const auto &refusal = *record.queueRefusal;
        telemetry::logEvent(telemetry::LogLevel::Info,
                            "refused_by_queue",
                            {{"request", record.request.text()},
                             {"cause", balance::queueRefusalCauseName(refusal.cause)},
                             {"queue_length", refusal.queueLength},
                             {"predicted_wait_ms", milliseconds(refusal.predictedWait)},
                             {"slots", refusal.capacity.slots},
                             {"measured_slots", refusal.capacity.measuredSlots},
                             {"equal_share_slots", refusal.capacity.equalShare},
                             {"arriving_slots", refusal.capacity.arrivingWork},
                             {"capacity_age_ms", refusal.capacity.age ? milliseconds(*refusal.capacity.age) : -1},
                             {"retry_after_ms", record.retryAfter ? milliseconds(*record.retryAfter) : -1}});
    }
    if (this->omittedLines > 0) {
        telemetry::logEvent(telemetry::LogLevel::Info, "lines_left_out", {{"requests", std::exchange(this->omittedLines, 0)}});
    }
    telemetry::logEvent(telemetry::LogLevel::Info,
                        "request",
                        {{"request", record.request.text()},
                         {"outcome", record.outcome},
                         {"status", record.status},
                         {"ms", milliseconds(record.latency)},
                         {"route", record.route},
                         {"organisation", record.organisation.text()},
                         {"service", record.service.text()},
                         {"servers", record.servers},
                         {"failure_probability", record.failureProbability},
                         {"outstanding", record.outstanding},
                         {"quota_used", record.quota.used},
                         {"quota_limit", record.quota.limit},
                         {"configuration", record.configuration.count()},
                         {"state_age_ms", milliseconds(record.stateAge)}});
}

} // namespace rhubarbtiller::gateway
