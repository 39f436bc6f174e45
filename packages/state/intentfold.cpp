#include "state/intentfold.h"

#include "util/digest.h"

#include <algorithm>

namespace Catkin
{

namespace
{

/// Width of a bucket of first_sent times. Keys expire by whole buckets, which keeps the index small.
constexpr auto bucketWidth = Millis{10'000};

/// Limit of competing intents per key; later ones never own the key. It bounds the memory that one caller's retries take.
constexpr auto maxAttemptsPerKey = std::size_t{16};

/// Later times could overflow the arithmetic below; 2^53 ms since the Unix epoch is beyond any clock.
constexpr auto latestTime = WallTime{Millis{std::int64_t{1} << 53U}};

auto isPlausible(WallTime time) -> bool
{
    return time >= WallTime{} && time <= latestTime;
}

}

IntentFold::IntentFold(IntentFoldOptions options)
    : m_options(options)
{
    restart({});
}

auto IntentFold::restart(LogOffset first) -> void
{
    m_next = first;
    m_now = {};
    m_coveredFrom.reset();
    if (first.value == 0) {
        m_coveredFrom = WallTime::min();
    }
    m_firstBucket = 0;
    m_keys.clear();
    m_buckets.clear();
    m_answers.clear();
    m_answerBytes = 0;
    // Instances are removed only here, because entries refer to them by index. Their ids are few and short.
    m_instances.clear();
    m_instanceIndex.clear();
}

auto IntentFold::noteEmptySince(WallTime since) -> void
{
    if (!m_coveredFrom) {
        m_coveredFrom = since;
    }
}

auto IntentFold::apply(LogOffset offset, WallTime time, const RequestRecord &record) -> void
{
    if (offset < m_next) {
        return;
    }
    m_next = offset + LogOffset{1};
    observeTime(time);
    auto changed = false;
    if (const auto *intent = std::get_if<IntentRecord>(&record)) {
        changed = applyIntent(*intent);
    } else if (const auto *voided = std::get_if<VoidRecord>(&record)) {
        changed = applyVoid(*voided);
    } else if (const auto *done = std::get_if<DoneRecord>(&record)) {
        changed = applyDone(*done);
    }
    ++(changed ? m_counts.applied : m_counts.ignored);
}

auto IntentFold::apply(LogOffset offset, WallTime time, std::string_view text) -> void
{
    if (offset < m_next) {
        return;
    }
    auto record = decodeRequestRecord(text);
    if (!record) {
        ++m_counts.undecodable;
        m_next = offset + LogOffset{1};
        observeTime(time);
        return;
    }
    apply(offset, time, record.value());
}

auto IntentFold::lookup(const RequestKey &key) const -> KeyStatus
{
    if (!isPlausible(key.firstSent) || bucketOf(key.firstSent) < m_firstBucket || key.firstSent + m_options.window < m_now) {
        return {.state = KeyState::Expired};
    }
    if (!covers(key.firstSent)) {
        return {.state = KeyState::NotCovered};
    }
    const auto it = m_keys.find(digestOf(key));
    if (it == m_keys.end() || it->second.attempts.empty()) {
        return {.state = KeyState::Free};
    }
    const auto &entry = it->second;
    const auto &owner = entry.attempts.front();
    return {
        .state = entry.done ? KeyState::Done : KeyState::Owned,
        .attempt = owner.id,
        .instance = m_instances[owner.instance],
        .result = entry.result,
        .answer = entry.answer,
    };
}

auto IntentFold::covers(WallTime firstSent) const -> bool
{
    return m_coveredFrom && (*m_coveredFrom == WallTime::min() || firstSent - m_options.maxAhead > *m_coveredFrom);
}

auto IntentFold::coversWindow(WallTime now) const -> bool
{
    return covers(now - m_options.window);
}

auto IntentFold::next() const -> LogOffset
{
    return m_next;
}

auto IntentFold::size() const -> std::size_t
{
    return m_keys.size();
}

auto IntentFold::counts() const -> const IntentFoldCounts &
{
    return m_counts;
}

auto IntentFold::digestOf(const RequestKey &key) -> Digest
{
    const auto &workspace = key.workspace.str();
    // The length prefix keeps ("a", "bc") and ("ab", "c") from giving the same text.
    const auto hex
        = sha256Hex(std::to_string(workspace.size()) + ':' + workspace + std::to_string(key.firstSent.time_since_epoch().count()) + ':' + key.key.str());
    constexpr auto hexDigitsPerWord = std::size_t{16};
    return {std::stoull(hex.substr(0, hexDigitsPerWord), nullptr, 16), std::stoull(hex.substr(hexDigitsPerWord, hexDigitsPerWord), nullptr, 16)};
}

auto IntentFold::bucketOf(WallTime firstSent) -> std::int64_t
{
    return firstSent.time_since_epoch() / bucketWidth;
}

auto IntentFold::applyIntent(const IntentRecord &record) -> bool
{
    if (!isPlausible(record.key.firstSent) || !isValid(record.key.firstSent)) {
        return false;
    }
    const auto digest = digestOf(record.key);
    const auto [it, keyAdded] = m_keys.try_emplace(digest);
    auto &entry = it->second;
    const auto repeated = std::any_of(entry.attempts.begin(), entry.attempts.end(), [&](const Attempt &attempt) { return attempt.id == record.attempt; });
    const auto intentAdded = !repeated && !entry.done && entry.attempts.size() < maxAttemptsPerKey;
    if (intentAdded) {
        entry.attempts.push_back({record.attempt, internInstance(record.instance)});
    }
    if (keyAdded) {
        m_buckets[bucketOf(record.key.firstSent)].push_back(digest);
        while (m_keys.size() > m_options.maxKeys) {
            m_counts.forgottenKeys += m_buckets.begin()->second.size();
            dropOldestBucket();
        }
    }
    return intentAdded;
}

auto IntentFold::applyVoid(const VoidRecord &record) -> bool
{
    const auto it = m_keys.find(digestOf(record.key));
    if (it == m_keys.end() || it->second.done) {
        return false;
    }
    const auto erased = std::erase_if(it->second.attempts,
                                      [&](const Attempt &attempt) { return attempt.id == record.attempt && m_instances[attempt.instance] == record.instance; });
    return erased > 0;
}

auto IntentFold::applyDone(const DoneRecord &record) -> bool
{
    const auto digest = digestOf(record.key);
    const auto it = m_keys.find(digest);
    if (it == m_keys.end() || it->second.done || it->second.attempts.empty() || it->second.attempts.front().id != record.attempt) {
        return false;
    }
    auto &entry = it->second;
    entry.done = true;
    entry.result = record.result;
    entry.attempts.resize(1);
    entry.attempts.shrink_to_fit();
    if (record.hasAnswer && record.answer.size() <= maxLoggedAnswerBytes) {
        entry.answer = std::make_shared<const std::string>(record.answer);
        m_answers.push_back(digest);
        m_answerBytes += record.answer.size();
    }
    while (m_answerBytes > m_options.maxAnswerBytes) {
        const auto oldest = m_keys.find(m_answers.front());
        m_answers.pop_front();
        if (oldest != m_keys.end() && oldest->second.answer) {
            m_answerBytes -= oldest->second.answer->size();
            oldest->second.answer.reset();
            ++m_counts.droppedAnswers;
        }
    }
    return true;
}

auto IntentFold::isValid(WallTime firstSent) const -> bool
{
    return covers(firstSent) && bucketOf(firstSent) >= m_firstBucket && firstSent + m_options.window >= m_now && firstSent - m_options.maxAhead <= m_now;
}

auto IntentFold::internInstance(const InstanceId &id) -> std::uint32_t
{
    const auto [it, added] = m_instanceIndex.try_emplace(id, static_cast<std::uint32_t>(m_instances.size()));
    if (added) {
        m_instances.push_back(id);
    }
    return it->second;
}

auto IntentFold::observeTime(WallTime time) -> void
{
    // When the log's clock steps back, the time here stands still: an expired key must not become valid again.
    m_now = std::max(m_now, time);
    if (!m_coveredFrom) {
        m_coveredFrom = m_now;
    }
    const auto firstValid = bucketOf(m_now - m_options.window);
    while (!m_buckets.empty() && m_buckets.begin()->first < firstValid) {
        dropOldestBucket();
    }
}

auto IntentFold::dropOldestBucket() -> void
{
    const auto oldest = m_buckets.begin();
    m_firstBucket = std::max(m_firstBucket, oldest->first + 1);
    for (const auto &digest : oldest->second) {
        const auto it = m_keys.find(digest);
        if (it != m_keys.end()) {
            m_answerBytes -= it->second.answer ? it->second.answer->size() : 0;
            m_keys.erase(it);
        }
    }
    m_buckets.erase(oldest);
    while (!m_answers.empty() && !m_keys.contains(m_answers.front())) {
        m_answers.pop_front();
    }
}

}
