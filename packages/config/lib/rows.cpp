#include <rhubarbtiller/config/rows.h>

namespace rhubarbtiller::config {

namespace {

struct PrimaryKey
{
    std::string operator()(const Route &row) const
    {
        return row.name.text();
    }
    std::string operator()(const Pool &row) const
    {
        return row.name.text();
    }
    std::string operator()(const Organisation &row) const
    {
        return row.id.text();
    }
    std::string operator()(const KeyGrant &row) const
    {
        return row.digest.text();
    }
    std::string operator()(const DomainWithdrawal &row) const
    {
        return row.failureDomain.text();
    }
    std::string operator()(const ServerDrain &row) const
    {
        return row.server.text();
    }
    std::string operator()(const Host &row) const
    {
        return row.id.text();
    }
    std::string operator()(const FleetParameters &) const
    {
        return "fleet";
    }
};

} // namespace

Table tableOf(const Row &row)
{
    // The alternatives of Row stand in the order of Table.
    return static_cast<Table>(row.index());
}

std::string primaryKeyOf(const Row &row)
{
    return std::visit(PrimaryKey{}, row);
}

const char *tableName(Table table)
{
    static constexpr const char *Names[]
        = {"routes", "pools", "organisations", "keys", "domainWithdrawals", "serverDrains", "hosts", "fleetParameters"};
    return Names[static_cast<std::size_t>(table)];
}

} // namespace rhubarbtiller::config
