#include <curl/curl.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(plan, "", "JSON file: hosts {id: {address, pid}}, owners {server: host}, backends [address], keys [{key, home}]");
DEFINE_string(path, "/seats/timetable", "path of the requests");
DEFINE_double(rate, 200, "requests a second through the hosts, and as many direct ones");
DEFINE_double(steered, 0.5, "part of the requests that goes to the home of the organisation; the others go to any host");
DEFINE_double(seconds, 20, "length of the measurement");
DEFINE_double(warm_up_seconds, 5, "requests before the measurement, without direct ones since the backend servers start cold");
DEFINE_double(idle_seconds, 5, "time without requests in which the processor time of the hosts is read first");
DEFINE_uint64(seed, 1, "random seed");
DEFINE_string(out, "", "file for the results as JSON");

using SteadyTime = std::chrono::steady_clock::time_point;
using nlohmann::json;

namespace {

struct Host
{
    std::string id;
    std::string address;
    long pid = 0;
};

struct Key
{
    std::string key;
    /// Index of the host that the address answer names first.
    std::size_t home = 0;
};

struct Plan
{
    std::vector<Host> hosts;
    std::map<std::string, std::size_t> owners;
    std::vector<std::string> backends;
    std::vector<Key> keys;
};

struct Transfer
{
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string body;
    bool isDirect = false;
    bool isMeasured = false;
    bool isSteered = false;
    std::size_t entry = 0;
    std::size_t home = 0;
};

/// Latencies in milliseconds and failures of one class of requests.
struct Class
{
    std::vector<double> latencies;
    std::map<long, std::size_t> failures;
};

} // namespace

static Plan readPlan(const std::string &file)
{
    const json document = json::parse(std::ifstream(file));
    Plan plan;
    std::map<std::string, std::size_t> indexes;
    for (const auto &[id, host] : document.at("hosts").items()) {
        indexes[id] = plan.hosts.size();
        plan.hosts.push_back({id, host.at("address"), host.at("pid")});
    }
    for (const auto &[server, host] : document.at("owners").items()) {
        plan.owners[server] = indexes.at(host);
    }
    plan.backends = document.at("backends");
    for (const auto &key : document.at("keys")) {
        const std::string home = key.at("home");
        for (std::size_t i = 0; i < plan.hosts.size(); ++i) {
            if (plan.hosts[i].address == home) {
                plan.keys.push_back({key.at("key"), i});
            }
        }
    }
    return plan;
}

/// Returns the processor time of a process in seconds, user and system together.
static double processorSeconds(long pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    // The name of the process, in parentheses, may contain spaces.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string field;
    double ticks = 0;
    for (int i = 3; i <= 15 && fields >> field; ++i) {
        if (i == 14 || i == 15) {
            ticks += std::stod(field);
        }
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

static double processorSeconds(const Plan &plan)
{
    double sum = 0;
    for (const Host &host : plan.hosts) {
        sum += processorSeconds(host.pid);
    }
    return sum;
}

static std::size_t writeBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

namespace {

/// Sends requests at fixed times, whatever becomes of earlier ones.
class Generator
{
public:
    explicit Generator(const Plan &loadPlan) : plan(loadPlan), engine(FLAGS_seed), multi(curl_multi_init())
    {
    }

    Generator(const Generator &) = delete;
    Generator &operator=(const Generator &) = delete;

    ~Generator()
    {
        for (CURL *easy : this->idle) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(this->multi);
    }

    void run(double seconds, bool isMeasured)
    {
        const auto gap = std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(0.5 / FLAGS_rate));
        SteadyTime next = std::chrono::steady_clock::now();
        const auto end = next + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(seconds));
        bool isDirect = false;
        while (next < end || this->running > 0) {
            const auto now = std::chrono::steady_clock::now();
            while (next <= now && next < end) {
                isDirect = !isDirect;
                if (!isDirect || isMeasured) {
                    this->send(isDirect, isMeasured);
                }
                next += gap;
            }
            int unused = 0;
            curl_multi_perform(this->multi, &unused);
            this->collect();
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(next - std::chrono::steady_clock::now()).count();
            const bool isOver = next >= end;
            curl_multi_poll(this->multi, nullptr, 0, isOver ? 10 : static_cast<int>(std::clamp<std::int64_t>(left, 0, 10)), nullptr);
        }
    }

    const std::map<std::string, Class> &classes() const
    {
        return this->results;
    }

private:
    std::size_t below(std::size_t bound)
    {
        return this->engine() % bound;
    }

    void send(bool isDirect, bool isMeasured)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->isDirect = isDirect;
        transfer->isMeasured = isMeasured;
        if (this->idle.empty()) {
            this->idle.push_back(curl_easy_init());
        }
        transfer->easy = this->idle.back();
        this->idle.pop_back();
        curl_easy_reset(transfer->easy);
        std::string address;
        if (isDirect) {
            address = this->plan.backends[this->below(this->plan.backends.size())];
        } else {
            const Key &key = this->plan.keys[this->below(this->plan.keys.size())];
            transfer->home = key.home;
            transfer->isSteered = std::uniform_real_distribution<double>(0, 1)(this->engine) < FLAGS_steered;
            transfer->entry = transfer->isSteered ? key.home : this->below(this->plan.hosts.size());
            address = this->plan.hosts[transfer->entry].address;
            transfer->headers = curl_slist_append(nullptr, ("X-Api-Key: " + key.key).c_str());
            curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
        }
        curl_easy_setopt(transfer->easy, CURLOPT_URL, ("http://" + address + FLAGS_path).c_str());
        curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, writeBody);
        curl_easy_setopt(transfer->easy, CURLOPT_WRITEDATA, &transfer->body);
        curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, 5000L);
        curl_easy_setopt(transfer->easy, CURLOPT_PROXY, "");
        curl_easy_setopt(transfer->easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer.get());
        curl_multi_add_handle(this->multi, transfer->easy);
        ++this->running;
        // Owned by the multi handle until collect() takes it back.
        static_cast<void>(transfer.release());
    }

    void collect()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            Transfer *raw = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &raw);
            const std::unique_ptr<Transfer> transfer(raw);
            long status = 0;
            curl_off_t taken = 0;
            curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
            curl_easy_getinfo(transfer->easy, CURLINFO_TOTAL_TIME_T, &taken);
            if (message->data.result != CURLE_OK) {
                status = -static_cast<long>(message->data.result);
            }
            curl_multi_remove_handle(this->multi, transfer->easy);
            curl_slist_free_all(transfer->headers);
            this->idle.push_back(transfer->easy);
            --this->running;
            if (transfer->isMeasured) {
                this->count(*transfer, status, static_cast<double>(taken) / 1000);
            }
        }
    }

    void count(const Transfer &transfer, long status, double milliseconds)
    {
        std::vector<std::string> names;
        if (transfer.isDirect) {
            names = {"direct"};
        } else {
            names = {"through hosts", transfer.isSteered ? "steered" : "any host"};
            const json body = json::parse(transfer.body, nullptr, false);
            const auto owner = this->plan.owners.find(body.is_object() ? body.value("server", "") : "");
            if (status == 200 && owner != this->plan.owners.end()) {
                const int hops = (transfer.entry != transfer.home ? 1 : 0) + (owner->second != transfer.home ? 1 : 0);
                names.push_back(std::to_string(hops) + (hops == 1 ? " hop" : " hops"));
            }
        }
        for (const std::string &name : names) {
            Class &result = this->results[name];
            if (status == 200) {
                result.latencies.push_back(milliseconds);
            } else {
                ++result.failures[status];
            }
        }
    }

    const Plan &plan;
    std::mt19937_64 engine;
    CURLM *multi;
    std::vector<CURL *> idle;
    std::size_t running = 0;
    std::map<std::string, Class> results;
};

} // namespace

static double quantile(const std::vector<double> &sorted, double part)
{
    if (sorted.empty()) {
        return 0;
    }
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

static json summary(Class result)
{
    std::sort(result.latencies.begin(), result.latencies.end());
    json failures = json::object();
    for (const auto &[status, number] : result.failures) {
        failures[std::to_string(status)] = number;
    }
    return {{"answers", result.latencies.size()},
            {"p50Ms", quantile(result.latencies, 0.5)},
            {"p99Ms", quantile(result.latencies, 0.99)},
            {"p999Ms", quantile(result.latencies, 0.999)},
            {"failures", failures}};
}

static void printClasses(const json &classes)
{
    const json direct = classes.value("direct", json::object());
    std::printf("%-16s %8s %9s %9s %9s   %9s %9s %9s  %s\n",
                "",
                "answers",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "added p50",
                "p99",
                "p99.9",
                "failures");
    for (const auto &[name, entry] : classes.items()) {
        const auto added = [&direct, isDirect = name == "direct", &values = entry](const char *field) {
            return isDirect ? 0.0 : values.at(field).get<double>() - direct.value(field, 0.0);
        };
        std::printf("%-16s %8zu %9.2f %9.2f %9.2f   %9.2f %9.2f %9.2f  %s\n",
                    name.c_str(),
                    entry.at("answers").get<std::size_t>(),
                    entry.at("p50Ms").get<double>(),
                    entry.at("p99Ms").get<double>(),
                    entry.at("p999Ms").get<double>(),
                    added("p50Ms"),
                    added("p99Ms"),
                    added("p999Ms"),
                    entry.at("failures").dump().c_str());
    }
}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    curl_global_init(CURL_GLOBAL_ALL);
    try {
        const Plan plan = readPlan(FLAGS_plan);
        if (plan.keys.empty()) {
            std::cerr << "the plan has no key with a known home\n";
            return 1;
        }
        const double idleFrom = processorSeconds(plan);
        usleep(static_cast<useconds_t>(FLAGS_idle_seconds * 1e6));
        const double idlePerSecond = (processorSeconds(plan) - idleFrom) / FLAGS_idle_seconds;

        Generator generator(plan);
        generator.run(FLAGS_warm_up_seconds, false);
        const auto begin = std::chrono::steady_clock::now();
        const double from = processorSeconds(plan);
        generator.run(FLAGS_seconds, true);
        const double used = processorSeconds(plan) - from;
        const bool hasAllHosts = std::all_of(plan.hosts.begin(), plan.hosts.end(), [](const Host &host) {
            return std::ifstream("/proc/" + std::to_string(host.pid) + "/stat").good();
        });
        const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();

        json result;
        for (const auto &[name, entry] : generator.classes()) {
            result["classes"][name] = summary(entry);
        }
        const double answers = result["classes"]["through hosts"].value("answers", 0.0);
        const double busy = used - idlePerSecond * seconds;
        result["seed"] = FLAGS_seed;
        // The processor time of a host that ended is lost.
        result["allHostsAlive"] = hasAllHosts;
        result["hosts"] = plan.hosts.size();
        result["rate"] = FLAGS_rate;
        result["steered"] = FLAGS_steered;
        result["idlePercentOfCorePerHost"] = 100 * idlePerSecond / static_cast<double>(plan.hosts.size());
        result["processorMsPerRequest"] = answers > 0 ? 1000 * busy / answers : 0;
        result["requestsPerSecondPerCore"] = busy > 0 ? answers / busy : 0;
        result["requestsPerSecondPerCoreWithIdle"] = used > 0 ? answers / used : 0;
        printClasses(result["classes"]);
        if (!hasAllHosts) {
            std::printf("a host ended during the run: the processor figures are not valid\n");
        }
        std::printf("hosts %zu, seed %llu: idle %.2f%% of a core per host, %.2f ms of processor time per request beyond idle,"
                    " %.0f requests a second per core (%.0f with the idle part)\n",
                    plan.hosts.size(),
                    static_cast<unsigned long long>(FLAGS_seed),
                    result["idlePercentOfCorePerHost"].get<double>(),
                    result["processorMsPerRequest"].get<double>(),
                    result["requestsPerSecondPerCore"].get<double>(),
                    result["requestsPerSecondPerCoreWithIdle"].get<double>());
        if (!FLAGS_out.empty()) {
            std::ofstream(FLAGS_out) << result.dump(2) << "\n";
        }
    } catch (const std::exception &failure) {
        std::cerr << "failed error=\"" << failure.what() << "\"\n";
        return 1;
    }
    return 0;
}
