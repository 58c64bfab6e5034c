#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace rhubarbtiller::bench {

/// One measured value at one size.
struct Point
{
    double size = 0;
    double value = 0;
};

/// Collects measured series; fits a line to each and prints them as a table and as JSON.
///
/// Thread safety: one thread.
class Report
{
public:
    /// Adds a series, for example the bytes of a snapshot over the number of organisations. Precondition: none.
    void add(std::string name, std::string sizeUnit, std::string valueUnit, std::vector<Point> points);

    /// Returns the table, one line for each series with its slope, intercept and points. Precondition: none.
    std::string table() const;

    /// Returns all series as JSON text. Precondition: none.
    std::string json() const;

private:
    struct Series
    {
        std::string name;
        std::string sizeUnit;
        std::string valueUnit;
        std::vector<Point> points;
        double slope = 0;
        double intercept = 0;
    };

    std::vector<Series> series;
};

/// Returns the bytes of all objects on the heap, with the allocator's overhead. Thread safety: one thread.
double allocatedBytes();

/// Returns the most bytes that \p call needs on the heap at one moment. Thread safety: one thread.
double peakBytesDuring(const std::function<void()> &call);

/// Returns the median time in microseconds of one call. Precondition: \p repetitions is not 0. Thread safety: one thread.
double medianMicros(std::size_t repetitions, const std::function<void()> &call);

/// As medianMicros() for a short call: times \p batch calls at once. Precondition: as medianMicros(), \p batch is not 0.
double medianMicrosOfBatch(std::size_t repetitions, std::size_t batch, const std::function<void()> &call);

/// Measures one series: calls \p measure for each size. Thread safety: one thread.
std::vector<Point> measureSizes(const std::vector<std::size_t> &sizes, const std::function<double(std::size_t)> &measure);

/// Returns the allocated bytes that are held by the result of \p make. Thread safety: one thread.
template<class Make>
double bytesHeldBy(const Make &make)
{
    const double before = allocatedBytes();
    const auto kept = make();
    return allocatedBytes() - before;
}

} // namespace rhubarbtiller::bench
