#include <rhubarbtiller/http/curlhttpclient.h>
#include <rhubarbtiller/http/errors.h>
#include <rhubarbtiller/operatorclient/commands.h>
#include <rhubarbtiller/platform/configurationcheck.h>
#include <rhubarbtiller/settings/settingsfile.h>
#include <rhubarbtiller/tablestore/dynamotableservice.h>
#include <rhubarbtiller/tablestore/s3objectstore.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <thread>

DEFINE_string(settings, "", "file with the operator's settings, JSON with comments");
DEFINE_bool(json, false, "print JSON");
DEFINE_double(rate, -1, "requests per second, in total over all hosts");
DEFINE_double(burst, -1, "largest burst, in requests");
DEFINE_string(reason, "", "reason of the change, recorded for other operators");
DEFINE_string(name, "", "name of the new key");
DEFINE_int64(base, -1, "revision of the tables that the folder is based on");
DEFINE_string(against, "", "file with the configuration in force, to compare the checked one with");

using namespace rhubarbtiller;
using operatorclient::ExitCode;

namespace {

/// The connections of a session, opened only if a command needs them.
struct Connections
{
    explicit Connections(const settings::OperatorSettings &settings)
        : work(asio::make_work_guard(this->context))
        , client(http::makeCurlHttpClient(this->context, this->clock))
        , tables(*this->client,
                 {settings.platform.tableAddress, settings.platform.region, settings.platform.credential},
                 settings.platform.tableName)
        , objects(*this->client,
                  {settings.platform.objectAddress, settings.platform.region, settings.platform.credential},
                  settings.platform.bucket)
        , store(this->tables, this->objects, this->clock)
        , session(settings, this->clock, *this->client, this->store, this->random, std::cout)
        , thread([this] {
            this->context.run();
        })
    {
    }

    ~Connections()
    {
        this->context.stop();
        this->thread.join();
    }

    SystemClock clock;
    SystemRandom random;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<http::HttpClient> client;
    tablestore::DynamoTableService tables;
    tablestore::S3ObjectStore objects;
    tablestore::ChangeLogStore store;
    operatorclient::Session session;
    std::thread thread;
};

} // namespace

static operatorclient::Options optionsFromFlags()
{
    operatorclient::Options options;
    options.asJson = FLAGS_json;
    options.reason = FLAGS_reason;
    options.keyName = FLAGS_name;
    options.against = FLAGS_against;
    if (FLAGS_rate >= 0) {
        options.rate = FLAGS_rate;
    }
    if (FLAGS_burst >= 0) {
        options.burst = FLAGS_burst;
    }
    if (FLAGS_base >= 0) {
        options.baseRevision = static_cast<std::uint64_t>(FLAGS_base);
    }
    return options;
}

/// A reachable host responds immediately; one that exceeds the timeout is listed as silent.
static constexpr std::chrono::milliseconds StatePageTimeout{1000};

static Result<std::string> readStatePage(const Endpoint &controlAddress)
{
    const SystemClock clock;
    asio::io_context context;
    const auto work = asio::make_work_guard(context);
    const auto client = http::makeCurlHttpClient(context, clock);
    http::HttpCall call;
    call.server = controlAddress;
    call.request.method = "GET";
    call.request.target = "/state";
    call.deadline = clock.now() + StatePageTimeout;
    call.maxAnswer = ByteCount(64 * 1024 * 1024);
    http::HttpOutcome outcome{make_error_code(http::HttpError::InternalError), false};
    client->send(std::move(call), [&context, &outcome](http::HttpOutcome received) {
        outcome = std::move(received);
        context.stop();
    });
    context.run();
    if (!outcome.response) {
        return outcome.response.error();
    }
    if (outcome.response->status != 200) {
        return make_error_code(http::HttpError::MalformedResponse);
    }
    return std::move(outcome.response).value().body;
}

static ExitCode checkDocument(const std::string &file, const operatorclient::Options &options, std::ostream &output, std::ostream &errors)
{
    switch (platform::checkConfigurationFile(file, options.against, options.asJson, output, errors)) {
    case platform::CheckResult::Clean:
        return ExitCode::Success;
    case platform::CheckResult::Warnings:
        return ExitCode::Warnings;
    case platform::CheckResult::Errors:
        return ExitCode::Invalid;
    case platform::CheckResult::Unreadable:
        break;
    }
    return ExitCode::Unreadable;
}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(operatorclient::usageText());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    std::unique_ptr<Connections> connections;
    const auto openSession = [&connections]() -> operatorclient::Session * {
        const auto settings = settings::readSettingsFile(FLAGS_settings, settings::parseOperatorSettings);
        if (!settings) {
            return nullptr;
        }
        connections = std::make_unique<Connections>(*settings);
        return &connections->session;
    };
    return static_cast<int>(
        operatorclient::runCommand(arguments, optionsFromFlags(), openSession, readStatePage, checkDocument, std::cout, std::cerr));
}
