#pragma once

/// Strong identifier types.
///
/// An identifier is a string that cannot be confused with an identifier of another kind:
/// @code
///   const auto id = Catkin::WorkerId{"w-17"};
///   leases[id] = ...;          // hashable and ordered
///   std::puts(id.str().c_str());
/// @endcode

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Catkin
{

/// A string identifier. Identifiers with different @p Tag are different types.
template<typename Tag>
class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string text)
        : m_text(std::move(text))
    {
    }

    /// @return the identifier as text.
    [[nodiscard]] auto str() const -> const std::string &
    {
        return m_text;
    }

    /// @return whether no identifier has been set.
    [[nodiscard]] auto empty() const -> bool
    {
        return m_text.empty();
    }

    auto operator<=>(const StringId &other) const = default;

private:
    std::string m_text;
};

template<typename Tag>
auto operator<<(std::ostream &out, const StringId<Tag> &id) -> std::ostream &
{
    return out << id.str();
}

using InstanceId = StringId<struct InstanceTag>;
using FailureDomainId = StringId<struct FailureDomainTag>;
using RegionId = StringId<struct RegionTag>;
using RackId = StringId<struct RackTag>;
using WorkspaceId = StringId<struct WorkspaceTag>;
using CallerId = StringId<struct CallerTag>;
using KindId = StringId<struct KindTag>;
using ServiceId = StringId<struct ServiceTag>;
using WorkerId = StringId<struct WorkerTag>;
using ExecutorId = StringId<struct ExecutorTag>;
using JobId = StringId<struct JobTag>;
using LeaseId = StringId<struct LeaseTag>;
using RequestId = StringId<struct RequestTag>;
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;

}

template<typename Tag>
struct std::hash<Catkin::StringId<Tag>>
{
    auto operator()(const Catkin::StringId<Tag> &id) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(id.str());
    }
};
