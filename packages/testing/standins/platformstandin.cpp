#include <rhubarbtiller/testing/platformstandin.h>

#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1:0", "ip:port to listen on; port 0 takes any free port");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        asio::io_context context(1);
        rhubarbtiller::testing::PlatformStandin standin(context);
        standin.start(rhubarbtiller::Endpoint(FLAGS_address));
        std::cout << "listening address=" << standin.boundAddress().text() << std::endl;
        context.run();
    } catch (const std::exception &failure) {
        std::cerr << "failed error=\"" << failure.what() << "\"" << std::endl;
        return 1;
    }
    return 0;
}
