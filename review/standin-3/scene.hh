#pragma once

#include "world.hh"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace review {

/// Exit codes of a case.
inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int NotRun = 2;

/// A store with a configuration, servers and hosts.
class Scene
{
public:
    static constexpr const char *Host = "front.example";
    static constexpr const char *Key = "key-of-union";

    /// \p argv: the root of the repository and the folder of the case.
    explicit Scene(int argc, char **argv)
        : root(argc > 2 ? argv[1] : "."), caseFolder(argc > 2 ? argv[2] : "."), record(caseFolder + "/record.txt"), prefix(addressPrefix()),
          folder(temporaryFolder()), store(prefix + "1", record)
    {
        const char *text = std::getenv("TROUBLE");
        this->hasTrouble = text == nullptr || std::string(text) != "0";
        this->record.line(this->hasTrouble ? "with the disruption" : "without the disruption");
    }

    ~Scene()
    {
        this->fleet.reset();
        this->servers.clear();
        std::filesystem::remove_all(this->folder);
    }

    static json route(const std::string &name, const std::string &prefix, const std::string &type, const std::string &service, double timeout)
    {
        json spec{{"host", Host},  {"prefix", prefix},   {"type", type},      {"slo_s", 0.8},
                  {"priority", 1}, {"service", service}, {"max_attempts", 2}, {"public", false}};
        if (timeout > 0) {
            spec["timeout_s"] = timeout;
        }
        return resource("routes", name, std::move(spec));
    }

    static json service(const std::string &name)
    {
        return resource("services", name, {{"health_path", "/healthz"}, {"max_conns", 390}, {"protocol", "h1"}, {"tls", false}});
    }

    static json tenant(const std::string &name, const std::string &key)
    {
        return resource("tenants", name, {{"api_keys", {key}}, {"priority", 1}});
    }

    static json limits()
    {
        return resource("limits",
                        "",
                        {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}, {"header_timeout_s", 3}, {"idle_timeout_s", 15}});
    }

    void configure(json resources)
    {
        this->version += 3;
        this->store.put("op", "config", json{{"version", this->version}, {"resources", std::move(resources)}}.dump());
    }

    Server &addServer(const std::string &service, const std::string &zone, int capacity = 4)
    {
        const auto number = this->servers.size() + 1;
        const json entry{{"service", service}, {"zone", zone}, {"version", "v1"}, {"capacity", capacity}, {"warmup_left_s", 0}};
        this->servers.push_back(std::make_unique<Server>(
            this->prefix + std::to_string(100 + number), this->store, this->record, entry, "i-" + std::to_string(1000 + number)));
        this->servers.back()->publish("ready");
        return *this->servers.back();
    }

    /// Starts the hosts and waits until they are ready and take part in the fleet; returns false if they are not.
    bool startFleet(const Fleet::Options &options)
    {
        this->fleet = std::make_unique<Fleet>(this->root, this->folder, this->prefix, this->store.address(), this->record, options);
        if (!this->fleet->waitUntilReady(milliseconds(15'000))) {
            this->record.line("the fleet is not ready");
            return false;
        }
        std::this_thread::sleep_for(milliseconds(8000));
        return true;
    }

    /// Copies the logs of the hosts into a folder that REVIEW_LOGS names, for a look by hand.
    void keepLogs()
    {
        if (const char *target = std::getenv("REVIEW_LOGS")) {
            std::filesystem::copy(this->folder, target, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
        }
    }

    std::vector<Run> runs() const
    {
        std::vector<Run> all;
        for (const auto &server : this->servers) {
            for (const auto &run : server->runs()) {
                all.push_back(run);
            }
        }
        return all;
    }

    int end(int code, const std::string &text)
    {
        this->record.line(text);
        this->keepLogs();
        std::cout << text << std::endl;
        return code;
    }

    const std::string root;
    const std::string caseFolder;
    Record record;
    const std::string prefix;
    const std::string folder;
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<Fleet> fleet;
    bool hasTrouble = true;
    int version = 4;
};

} // namespace review
