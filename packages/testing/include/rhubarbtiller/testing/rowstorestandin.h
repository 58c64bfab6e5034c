#pragma once

#include <rhubarbtiller/testing/rawhttpserver.h>
#include <rhubarbtiller/testing/servicefaults.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace rhubarbtiller::testing {

/// The platform's store of versioned rows over HTTP, in memory: transactions, range reads and a feed of changes.
///
/// Speaks the platform's published protocol, so that its field names and paths stand here. Only the parts that hosts use
/// exist. Thread safety: the thread of the io_context.
class RowStoreStandin
{
public:
    /// Precondition: \p ioContext outlives the stand-in and has one thread.
    explicit RowStoreStandin(asio::io_context &ioContext);
    ~RowStoreStandin();

    /// Binds the address. Throws std::system_error if that fails.
    void start(const Endpoint &address);

    /// Returns the bound address. Precondition: started.
    Endpoint boundAddress() const;

    /// Writes a row as the operator or a server does; returns its version. Precondition: none.
    std::uint64_t put(const std::string &table, const std::string &key, std::string value);

    /// Removes a row; returns the version of the removal. Precondition: none.
    std::uint64_t remove(const std::string &table, const std::string &key);

    /// Writes a row again with what it has, as a heartbeat does: only the version of the store rises. Precondition: none.
    void touch();

    /// Drops the history, so that a feed from any earlier version answers that it is gone. Precondition: none.
    void dropHistory();

    /// The rows at one moment.
    struct Copy;

    /// Returns a copy of all rows. Precondition: none.
    std::shared_ptr<const Copy> copy() const;

    /// Comes back with the rows of an earlier copy: versions go back and are given out again, the era rises, and open feeds are cut.
    ///
    /// Precondition: \p earlier is from this store.
    void returnFrom(const Copy &earlier);

    /// Returns the version of the last write. Precondition: none.
    std::uint64_t lastVersion() const
    {
        return this->version;
    }

    /// Returns how often the store has come back, from 1. Precondition: none.
    std::uint64_t currentEra() const
    {
        return this->era;
    }

    /// The status of refused calls while \c faults has an outage of that kind.
    int refusalStatus = 503;

    /// How calls fail; writes count as in all services.
    ServiceFaults faults;

    /// Calls that arrived. Precondition: none.
    std::uint64_t calls() const
    {
        return this->callCount;
    }

private:
    using Connection = std::shared_ptr<RawConnection>;
    using Query = std::map<std::string, std::string>;

    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    /// Rows by partition and key.
    using Table = std::map<std::pair<std::string, std::string>, Row>;

    struct Change
    {
        std::uint64_t version = 0;
        std::string table;
        std::string part;
        std::string key;
        std::string value;
        bool isRemoved = false;
    };

    struct Watcher;

    void respond(const Connection &connection, http::HttpResponse response) const;
    void onRequest(const http::HttpRequest &request, const Connection &connection);
    void perform(const http::HttpRequest &request, const Connection &connection);
    http::HttpResponse transact(const std::string &body);
    http::HttpResponse readRows(Query query) const;
    void follow(Query query, const Connection &connection);
    bool answerFeed(const std::string &table, std::uint64_t after, const Connection &connection);
    void record(Change change);
    void wakeWatchers();
    nlohmann::json stamped() const;

    asio::io_context &context;
    RawHttpServer server;
    std::map<std::string, Table> tables;
    std::list<Change> history;
    std::list<std::shared_ptr<Watcher>> watchers;
    std::uint64_t version = 0;
    std::uint64_t era = 1;
    /// Changes up to this version are no longer in the history.
    std::uint64_t forgottenVersion = 0;
    std::uint64_t callCount = 0;
};

} // namespace rhubarbtiller::testing
