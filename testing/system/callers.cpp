#include "system/callers.h"

#include <chrono>

namespace Catkin
{

using nlohmann::json;

Callers::Callers(Deployment &site, const CallersOptions &options)
    : m_site(site)
    , m_options(options)
{
    for (auto i = 0; i < options.threads; ++i) {
        m_threads.emplace_back([this, i] { run(i); });
    }
}

Callers::~Callers()
{
    for (auto &it : m_threads) {
        if (it.joinable()) {
            it.join();
        }
    }
}

auto Callers::choose(Random &random) const -> std::size_t
{
    const auto &entries = m_options.entries;
    return entries.empty() ? uniform(random, static_cast<std::uint32_t>(m_site.entryCount()))
                           : entries[uniform(random, static_cast<std::uint32_t>(entries.size()))];
}

auto Callers::sendKey(int thread, int number, unsigned &state) -> void
{
    auto random = Random{state++, static_cast<std::uint64_t>(thread)};
    auto index = choose(random);
    const auto key = "key-" + std::to_string(m_options.seed) + "-" + std::to_string(thread) + "-" + std::to_string(number);
    auto params = RequestParams{.kind = m_options.kind, .key = key, .caller = "caller-" + std::to_string(thread)};
    params.payload = json{{"key", key}, {"busy_ms", m_options.busyMs}}.dump();
    const auto now = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
    params.firstSentMs = now.count();
    for (auto attempt = 1; attempt <= m_options.attempts; ++attempt) {
        params.attempt = attempt;
        if (m_options.useTickets && attempt == 1) {
            const auto reply = m_site.caller(index, "POST", "/v1/tickets", "{}", Millis{3'000});
            if (!reply || reply.value().status != 200) {
                return;
            }
            params.key = json::parse(reply.value().body).at("key").get<std::string>();
        }
        auto call = m_site.request(index, params);
        call.key = key; // the executor records the key in the payload
        const auto result = call.result;
        {
            const auto lock = std::lock_guard{m_mutex};
            m_calls.push_back(std::move(call));
        }
        if (result == CallResult::Answer) {
            ++m_answered;
            return;
        }
        std::this_thread::sleep_for(Millis{20 + static_cast<std::int64_t>(uniform(random, 60))});
        index = choose(random);
    }
}

auto Callers::run(int thread) -> void
{
    auto state = m_options.seed * 1000U + static_cast<unsigned>(thread) * 100U;
    for (auto i = 0; i < m_options.requestsEach && !m_stopping; ++i) {
        sendKey(thread, i, state);
        std::this_thread::sleep_for(Millis{m_options.pauseMs});
    }
}

auto Callers::stop() -> void
{
    m_stopping = true;
}

auto Callers::join() -> std::vector<Call>
{
    for (auto &it : m_threads) {
        it.join();
    }
    return m_calls;
}

auto Callers::answered() const -> int
{
    return m_answered;
}

}
