#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace rhubarbtiller::bench {

void Report::add(std::string name, std::string sizeUnit, std::string valueUnit, std::vector<Point> points)
{
    Series entry{std::move(name), std::move(sizeUnit), std::move(valueUnit), std::move(points)};
    const auto count = static_cast<double>(entry.points.size());
    double sizes = 0;
    double values = 0;
    for (const auto &point : entry.points) {
        sizes += point.size / count;
        values += point.value / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto &point : entry.points) {
        covariance += (point.size - sizes) * (point.value - values);
        variance += (point.size - sizes) * (point.size - sizes);
    }
    entry.slope = variance > 0 ? covariance / variance : 0;
    entry.intercept = values - entry.slope * sizes;
    this->series.push_back(std::move(entry));
}

std::string Report::table() const
{
    std::ostringstream out;
    out << std::setprecision(5);
    for (const auto &entry : this->series) {
        out << entry.name << ": ";
        if (entry.points.size() > 1) {
            out << entry.slope << ' ' << entry.valueUnit << " per " << entry.sizeUnit << ", intercept " << entry.intercept << ';';
        }
        for (const auto &point : entry.points) {
            out << ' ' << point.size << ' ' << entry.sizeUnit << " = " << point.value << ' ' << entry.valueUnit << ';';
        }
        out << '\n';
    }
    return out.str();
}

std::string Report::json() const
{
    auto document = nlohmann::json::array();
    for (const auto &entry : this->series) {
        auto points = nlohmann::json::array();
        for (const auto &point : entry.points) {
            points.push_back({{"size", point.size}, {"value", point.value}});
        }
        document.push_back({{"name", entry.name},
                            {"sizeUnit", entry.sizeUnit},
                            {"valueUnit", entry.valueUnit},
                            {"slope", entry.slope},
                            {"intercept", entry.intercept},
                            {"points", std::move(points)}});
    }
    return document.dump(2);
}

double medianMicros(std::size_t repetitions, const std::function<void()> &call)
{
    return medianMicrosOfBatch(repetitions, 1, call);
}

double medianMicrosOfBatch(std::size_t repetitions, std::size_t batch, const std::function<void()> &call)
{
    std::vector<double> times;
    times.reserve(repetitions);
    for (std::size_t i = 0; i < repetitions; ++i) {
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t j = 0; j < batch; ++j) {
            call();
        }
        const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - start;
        times.push_back(taken.count() / static_cast<double>(batch));
    }
    std::ranges::nth_element(times, times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2));
    return times[times.size() / 2];
}

std::vector<Point> measureSizes(const std::vector<std::size_t> &sizes, const std::function<double(std::size_t)> &measure)
{
    std::vector<Point> points;
    points.reserve(sizes.size());
    for (const auto size : sizes) {
        points.push_back({static_cast<double>(size), measure(size)});
    }
    return points;
}

} // namespace rhubarbtiller::bench
