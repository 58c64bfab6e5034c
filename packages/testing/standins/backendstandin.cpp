#include <rhubarbtiller/testing/backendstandin.h>

#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <cstdint>
#include <iostream>

DEFINE_string(address, "127.0.0.1:0", "ip:port to listen on; port 0 takes any free port");
DEFINE_string(id, "backend", "name of the server in its answers and its log");
DEFINE_uint32(slots, 2, "concurrent requests that the warm server bears");
DEFINE_uint32(cold_slots, 1, "concurrent requests that the server bears in a cold start");
DEFINE_int64(warm_up_ms, 10000, "length of a cold start");
DEFINE_int64(service_time_ms, 5, "time that a request takes");
DEFINE_int64(collapse_ms, 2000, "how long all requests fail after an overload in a cold start");
DEFINE_bool(shedding, true, "refuse requests above the slots with 503 and X-Not-Run: 1");
DEFINE_string(secret, "", "a text to look for in every request");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        rhubarbtiller::testing::BackendSettings settings;
        settings.id = FLAGS_id;
        settings.slots = FLAGS_slots;
        settings.coldSlots = FLAGS_cold_slots;
        settings.warmUpTime = std::chrono::milliseconds(FLAGS_warm_up_ms);
        settings.serviceTime = std::chrono::milliseconds(FLAGS_service_time_ms);
        settings.collapseTime = std::chrono::milliseconds(FLAGS_collapse_ms);
        settings.isShedding = FLAGS_shedding;
        if (!FLAGS_secret.empty()) {
            settings.secrets.push_back(FLAGS_secret);
        }
        asio::io_context context(1);
        rhubarbtiller::testing::BackendStandin standin(context, std::move(settings));
        standin.start(rhubarbtiller::Endpoint(FLAGS_address));
        std::cout << "listening address=" << standin.boundAddress().text() << std::endl;
        context.run();
    } catch (const std::exception &failure) {
        std::cerr << "failed error=\"" << failure.what() << "\"" << std::endl;
        return 1;
    }
    return 0;
}
