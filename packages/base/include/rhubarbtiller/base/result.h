#pragma once

#include <cassert>
#include <optional>
#include <system_error>
#include <utility>

namespace rhubarbtiller {

/// The outcome of an operation without a value; an unset code is success.
using Status = std::error_code;

/// A value, or the error because of which there is none.
///
/// Thread safety: as the value type.
template<class Value>
class [[nodiscard]] Result
{
public:
    Result(Value held) : content(std::move(held))
    {
    }

    Result(std::error_code code) : failure(code)
    {
        assert(code && "a result without a value needs an error");
    }

    /// Returns whether there is a value. Precondition: none.
    explicit operator bool() const
    {
        return this->content.has_value();
    }

    /// Returns the error; unset if there is a value. Precondition: none.
    std::error_code error() const
    {
        return this->failure;
    }

    /// Returns the value. Precondition: there is one.
    const Value &value() const &
    {
        assert(this->content && "read of a result that holds an error");
        return *this->content;
    }

    /// Moves the value out. Precondition: there is one.
    Value &&value() &&
    {
        assert(this->content && "read of a result that holds an error");
        return std::move(*this->content);
    }

    /// Gives access to the members of the value. Precondition: there is one.
    const Value *operator->() const
    {
        return &this->value();
    }

    /// Returns the value. Precondition: there is one.
    const Value &operator*() const
    {
        return this->value();
    }

private:
    std::optional<Value> content;
    std::error_code failure;
};

} // namespace rhubarbtiller
