#include <rhubarbtiller/tablestore/tableservice.h>

namespace rhubarbtiller::tablestore {

template<class Value>
static const Value *findAttribute(const Attributes &attributes, const std::string &name)
{
    const auto found = attributes.find(name);
    return found == attributes.end() ? nullptr : std::get_if<Value>(&found->second);
}

const std::string *Item::findString(const std::string &name) const
{
    return findAttribute<std::string>(this->attributes, name);
}

const std::int64_t *Item::findNumber(const std::string &name) const
{
    return findAttribute<std::int64_t>(this->attributes, name);
}

const Binary *Item::findBinary(const std::string &name) const
{
    return findAttribute<Binary>(this->attributes, name);
}

} // namespace rhubarbtiller::tablestore
