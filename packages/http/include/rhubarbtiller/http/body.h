#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace rhubarbtiller::http {

/// The immutable body of a message; copies share the same bytes, so that a large body is in memory once.
///
/// Thread safety: any thread, as with a shared pointer.
class Body
{
public:
    Body() = default;

    /// Takes the bytes. Precondition: none.
    Body(std::string text) : shared(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text))) // NOLINT(*-explicit-*)
    {
    }

    Body(const char *text) : Body(std::string(text)) // NOLINT(*-explicit-*)
    {
    }

    /// Refers to bytes that \p holder keeps, and keeps the holder. Precondition: null, or the bytes do not change.
    explicit Body(std::shared_ptr<const std::string> holder) : shared(std::move(holder))
    {
    }

    /// Returns the bytes, which are valid as long as this or a copy is. Precondition: none.
    const std::string &text() const
    {
        static const std::string noBytes;
        return this->shared ? *this->shared : noBytes;
    }

    operator const std::string &() const // NOLINT(*-explicit-*)
    {
        return this->text();
    }

    /// Returns the number of bytes. Precondition: none.
    std::size_t size() const
    {
        return this->text().size();
    }

    /// Returns whether there are no bytes. Precondition: none.
    bool empty() const // NOLINT(readability-identifier-naming)
    {
        return this->text().empty();
    }

    friend bool operator==(const Body &left, const Body &right)
    {
        return left.text() == right.text();
    }

private:
    std::shared_ptr<const std::string> shared;
};

} // namespace rhubarbtiller::http
