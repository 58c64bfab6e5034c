#pragma once

#include <rhubarbtiller/tablestore/objectstore.h>
#include <rhubarbtiller/testing/faultinjector.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace rhubarbtiller::testing {

/// The object store in memory, with faults.
///
/// Thread safety: one thread.
class FakeObjectStore : public tablestore::ObjectStore
{
public:
    /// Runs on the scheduler's clock, or ends calls at once without one. Precondition: the scheduler outlives the store.
    explicit FakeObjectStore(VirtualScheduler *scheduler = nullptr) : injector(scheduler)
    {
    }

    void readObject(tablestore::ObjectName name, MonotonicTime deadline, tablestore::Handler<Result<std::string>> handler) override
    {
        this->injector.call<Result<std::string>>(
            false,
            deadline,
            [this, name = std::move(name)]() -> Result<std::string> {
                const auto found = this->objects.find(name.text());
                if (found == this->objects.end()) {
                    return make_error_code(tablestore::PlatformError::NotFound);
                }
                return found->second;
            },
            std::move(handler));
    }

    void writeObject(tablestore::ObjectName name, std::string content, MonotonicTime deadline, tablestore::Handler<Status> handler) override
    {
        this->injector.call<Status>(
            true,
            deadline,
            [this, name = std::move(name), content = std::move(content)] {
                this->objects[name.text()] = content;
                return Status();
            },
            std::move(handler));
    }

    /// Returns the faults, to be changed. Precondition: none.
    ServiceFaults &faults()
    {
        return this->injector.faults;
    }

    /// The stored objects, to be looked at or spoiled by a test.
    std::map<std::string, std::string> objects;

private:
    FaultInjector injector;
};

} // namespace rhubarbtiller::testing
