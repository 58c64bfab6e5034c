#include <rhubarbtiller/base/rcucell.h>

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

using rhubarbtiller::RcuCell;

// Guards against reads of a freed or partially written value while a writer replaces it.
TEST_CASE("readers get consistent values while a writer replaces them")
{
    struct Pair
    {
        int first;
        int second;
    };
    RcuCell<Pair> cell(std::make_shared<const Pair>(Pair{0, 0}));
    std::atomic<bool> stop{false};
    std::atomic<int> inconsistentReads{0};
    std::vector<std::thread> readers;
    for (int i = 0; i < 4; ++i) {
        readers.emplace_back([&] {
            while (!stop.load()) {
                if (const auto pair = cell.read(); pair->first != pair->second) {
                    ++inconsistentReads;
                }
            }
        });
    }
    for (int i = 1; i <= 500; ++i) {
        cell.publish(std::make_shared<const Pair>(Pair{i, i}));
    }
    stop = true;
    for (auto &reader : readers) {
        reader.join();
    }
    CHECK(inconsistentReads == 0);
    CHECK(cell.read()->first == 500);
}
