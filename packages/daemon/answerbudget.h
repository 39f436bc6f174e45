#pragma once

/// Bounds the memory of answers that are kept for repeated calls: the oldest ones are dropped first.
///
/// @code
///   auto budget = Catkin::AnswerBudget<std::int64_t>{Catkin::Bytes{8 << 20}};
///   budget.add(number, answer.size(), [&](std::int64_t oldest) { entries.at(oldest).answer.clear(); });
/// @endcode

#include "util/units.h"

#include <list>
#include <map>
#include <utility>

namespace Catkin
{

/// Not thread-safe. @p Key names the holder of an answer.
template<typename Key>
class AnswerBudget
{
public:
    explicit AnswerBudget(Bytes limit)
        : m_limit(limit)
    {
    }

    /// Counts an answer of @p key, which may hold one only; calls @p drop for the oldest keys, perhaps @p key itself,
    /// until the rest fits.
    template<typename Drop>
    auto add(const Key &key, std::size_t bytes, Drop drop) -> void
    {
        remove(key);
        m_order.emplace_back(key, static_cast<std::int64_t>(bytes));
        m_positions[key] = std::prev(m_order.end());
        m_used += static_cast<std::int64_t>(bytes);
        while (m_used > m_limit.value) {
            const auto oldest = m_order.front().first;
            remove(oldest);
            drop(oldest);
        }
    }

    /// Forgets a key whose answer is gone; unknown keys are ignored.
    auto remove(const Key &key) -> void
    {
        const auto it = m_positions.find(key);
        if (it == m_positions.end()) {
            return;
        }
        m_used -= it->second->second;
        m_order.erase(it->second);
        m_positions.erase(it);
    }

    /// @return the bytes of all answers counted.
    [[nodiscard]] auto used() const -> Bytes
    {
        return Bytes{m_used};
    }

private:
    using Order = std::list<std::pair<Key, std::int64_t>>;

    Bytes m_limit;
    std::int64_t m_used = 0;
    Order m_order;
    std::map<Key, typename Order::iterator> m_positions;
};

}
