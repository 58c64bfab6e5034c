#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/tablestore/tableservice.h>

#include <string>

namespace rhubarbtiller::tablestore {

/// The name of an object in the bucket: letters, digits, "-", "_", "." and "/".
using ObjectName = StrongId<struct ObjectNameTag>;

/// The platform's object store.
///
/// All errors are of PlatformError. Thread safety: any thread; handlers run exactly once and may run before the call returns.
class ObjectStore
{
public:
    ObjectStore() = default;
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;
    virtual ~ObjectStore() = default;

    /// Reads a whole object; ends with NotFound if there is none. Precondition: none. Thread safety: any thread.
    virtual void readObject(ObjectName name, MonotonicTime deadline, Handler<Result<std::string>> handler) = 0;

    /// Stores an object in place of any object with the same name. Precondition: none. Thread safety: any thread.
    virtual void writeObject(ObjectName name, std::string content, MonotonicTime deadline, Handler<Status> handler) = 0;
};

} // namespace rhubarbtiller::tablestore
