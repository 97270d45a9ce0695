#include "version_store.hpp"

#include "daisydoor/config/error.hpp"
#include "daisydoor/core/fault.hpp"

#include <algorithm>

namespace daisydoor::config::detail
{

namespace
{

/// Two versions may be in transit at the same time, and a peer may serve a third one; a higher bound would only store
/// outdated ones.
constexpr std::size_t max_candidates = 4;
constexpr std::size_t max_reported_digests = 64;
/// Enough for every part of a configuration of the size expected in two years, with parts of a few kilobytes.
constexpr std::size_t max_unneeded_parts = 4096;

void append_bounded(std::deque<std::uint64_t>& list, std::uint64_t digest, std::size_t limit)
{
    list.push_back(digest);
    if (list.size() > limit) {
        list.pop_front();
    }
}

bool contains(const std::deque<std::uint64_t>& list, std::uint64_t digest)
{
    return std::find(list.begin(), list.end(), digest) != list.end();
}

raw_value make_raw(const std::string& content)
{
    return {content_digest(content), std::make_shared<const std::string>(content)};
}

/// A parsed part refers to zones by their index, so it can only be reused if the zones have the same names and order.
bool same_zone_names(const std::vector<zone>& a, const std::vector<zone>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const zone& x, const zone& y) { return x.name == y.name; });
}

std::string version_text(core::config_version version) { return "version " + std::to_string(core::raw(version)); }

} // namespace

core::config_version version_store::version() const noexcept
{
    return m_snapshot ? m_snapshot->version : core::config_version{};
}

bool version_store::is_reported(std::uint64_t digest) const { return contains(m_reported_digests, digest); }

offer_result version_store::report_once(offer_status status, std::uint64_t digest, const core::error& error)
{
    if (is_reported(digest)) {
        return {status, {}};
    }
    append_bounded(m_reported_digests, digest, max_reported_digests);
    return {status, rejection{error.number(), error.what()}};
}

offer_result version_store::reject(std::uint64_t digest, const core::error& error)
{
    erase_candidate(digest);
    return report_once(offer_status::rejected, digest, error);
}

offer_result version_store::check_version(const published_index& index, std::uint64_t digest)
{
    if (!m_accepted) {
        return {offer_status::added, {}};
    }
    const std::string key(index_key);
    if (index.version < version() && !core::is_active(core::fault::accept_older_version)) {
        return report_once(offer_status::older, digest,
                           config_error(errc::version_decreased, key, 0, "version", version_text(index.version),
                                        "at least the current " + version_text(version())));
    }
    if (index.version == version()) {
        if (digest == m_accepted->raw.digest) {
            return {offer_status::current, {}};
        }
        return report_once(offer_status::rejected, digest,
                           config_error(errc::content_changed, key, 0, "version",
                                        "the content changed without a change of " + version_text(index.version),
                                        "a higher version for each change"));
    }
    return {offer_status::added, {}};
}

offer_result version_store::offer_index(const std::string& content)
{
    const std::uint64_t digest = content_digest(content);
    if (m_accepted && digest == m_accepted->raw.digest) {
        return {offer_status::current, {}};
    }
    if (find_candidate(digest) != nullptr) {
        return {offer_status::added, {}};
    }
    candidate added;
    try {
        added.index = parse_index(content);
    } catch (const config_error& e) {
        return report_once(offer_status::rejected, digest, e);
    }
    auto result = check_version(added.index, digest);
    if (result.status != offer_status::added) {
        return result;
    }
    if (is_reported(digest)) {
        return {offer_status::ignored, {}};
    }
    added.raw = make_raw(content);
    try {
        if (m_accepted) {
            reuse_parts(added, *m_accepted);
        }
        for (const auto& it : m_candidates) {
            reuse_parts(added, it);
        }
    } catch (const config_error& e) {
        return reject(digest, e);
    }
    m_candidates.push_back(std::move(added));
    std::stable_sort(m_candidates.begin(), m_candidates.end(),
                     [](const auto& a, const auto& b) { return a.index.version > b.index.version; });
    if (m_candidates.size() > max_candidates) {
        m_candidates.pop_back();
    }
    return accept_if_complete(digest);
}

void version_store::reuse_parts(candidate& to, const candidate& from)
{
    const bool same_zones = same_zone_names(to.index.zones, from.index.zones);
    for (const auto& wanted : to.index.parts) {
        const auto it = from.parts.find(wanted.key);
        if (it == from.parts.end() || it->second.raw.digest != wanted.digest) {
            continue;
        }
        if (same_zones) {
            to.parts.insert(*it);
        } else {
            add_part(to, wanted, *it->second.raw.content);
        }
    }
}

bool version_store::is_needed(const published_part& part) const
{
    return !m_service || std::any_of(part.services.begin(), part.services.end(),
                                     [this](const service& it) { return it.id == *m_service; });
}

bool version_store::is_complete(const candidate& value) const
{
    const auto is_resolved = [&](const part_reference& it) {
        return value.parts.count(it.key) != 0 || (m_service && contains(m_unneeded_parts, it.digest));
    };
    return (m_service && !value.parts.empty()) ||
           std::all_of(value.index.parts.begin(), value.index.parts.end(), is_resolved);
}

bool version_store::add_part(candidate& to, const part_reference& wanted, const std::string& content)
{
    stored_part part{make_raw(content), nullptr};
    if (part.raw.digest != wanted.digest && !core::is_active(core::fault::accept_bad_digest)) {
        return false;
    }
    part.parsed = std::make_shared<const published_part>(parse_part(wanted.key, content, to.index.zones));
    if (is_needed(*part.parsed)) {
        to.parts.insert_or_assign(wanted.key, std::move(part));
    } else if (!contains(m_unneeded_parts, wanted.digest)) {
        append_bounded(m_unneeded_parts, wanted.digest, max_unneeded_parts);
    }
    return true;
}

offer_result version_store::offer_part(const std::string& key, const std::string& content)
{
    offer_result result;
    std::optional<std::uint64_t> wanted_digest;
    const auto offered_to = candidates();
    for (const auto& info : offered_to) {
        auto* receiver = find_candidate(info.digest);
        if (receiver == nullptr || receiver->parts.count(key) != 0) {
            continue;
        }
        const auto it = std::find_if(receiver->index.parts.begin(), receiver->index.parts.end(),
                                     [&key](const part_reference& part) { return part.key == key; });
        if (it == receiver->index.parts.end()) {
            continue;
        }
        try {
            if (!add_part(*receiver, *it, content)) {
                wanted_digest = it->digest;
                continue;
            }
        } catch (const config_error& e) {
            return reject(info.digest, e);
        }
        result = accept_if_complete(info.digest);
        if (result.status == offer_status::accepted || result.error) {
            return result;
        }
    }
    if (wanted_digest && result.status != offer_status::added) {
        return report_once(offer_status::mismatched, content_digest(content) ^ *wanted_digest,
                           config_error(errc::bad_digest, key, 0, "", "the content does not match the index",
                                        "the content with the digest that the index lists"));
    }
    return result;
}

offer_result version_store::accept_if_complete(std::uint64_t digest)
{
    auto* found = find_candidate(digest);
    if (found == nullptr || !is_complete(*found)) {
        return {offer_status::added, {}};
    }
    std::vector<published_part_ptr> parts;
    for (const auto& it : found->index.parts) {
        if (const auto part = found->parts.find(it.key); part != found->parts.end()) {
            parts.push_back(part->second.parsed);
        }
    }
    try {
        m_snapshot = std::make_shared<const snapshot>(make_snapshot(found->index, parts));
    } catch (const config_error& e) {
        return reject(digest, e);
    }
    m_accepted = std::move(*found);
    erase_candidate(digest);
    const auto is_superseded = [this](const candidate& it) { return it.index.version <= version(); };
    m_candidates.erase(std::remove_if(m_candidates.begin(), m_candidates.end(), is_superseded), m_candidates.end());
    return {offer_status::accepted, {}};
}

offer_result version_store::offer_fleet(const std::string& content)
{
    const std::uint64_t digest = content_digest(content);
    if (m_fleet && digest == m_raw_fleet.digest) {
        return {offer_status::current, {}};
    }
    fleet_view view;
    try {
        view = parse_fleet(content);
    } catch (const config_error& e) {
        return report_once(offer_status::rejected, digest, e);
    }
    const std::string key(fleet_key);
    const std::string found = "version " + std::to_string(view.version);
    if (m_fleet && view.version < m_fleet->version) {
        return report_once(offer_status::older, digest,
                           config_error(errc::version_decreased, key, 0, "version", found,
                                        "at least the current version " + std::to_string(m_fleet->version)));
    }
    if (m_fleet && view.version == m_fleet->version) {
        return report_once(offer_status::rejected, digest,
                           config_error(errc::content_changed, key, 0, "version",
                                        "the content changed without a change of " + found,
                                        "a higher version for each change"));
    }
    m_fleet = std::make_shared<const fleet_view>(std::move(view));
    m_raw_fleet = make_raw(content);
    return {offer_status::accepted, {}};
}

std::vector<version_store::candidate_info> version_store::candidates() const
{
    std::vector<candidate_info> result;
    for (const auto& it : m_candidates) {
        result.push_back({it.raw.digest, it.index.version});
    }
    return result;
}

std::vector<std::string> version_store::missing_parts(std::uint64_t digest) const
{
    std::vector<std::string> result;
    const auto* found = find_candidate(digest);
    if (found == nullptr) {
        return result;
    }
    for (const auto& it : found->index.parts) {
        if (found->parts.count(it.key) == 0 && !(m_service && contains(m_unneeded_parts, it.digest))) {
            result.push_back(it.key);
        }
    }
    if (m_service && !result.empty()) {
        // The index does not list the services of a part, so the part that contained the service before is fetched
        // first.
        const auto had_service = [this](const std::string& key) {
            return m_accepted && m_accepted->parts.count(key) != 0;
        };
        std::stable_partition(result.begin(), result.end(), had_service);
        result.resize(1);
    }
    return result;
}

std::optional<rejection> version_store::report_missing_part(std::uint64_t digest)
{
    const auto missing = missing_parts(digest);
    if (missing.empty()) {
        return std::nullopt;
    }
    const config_error error(errc::missing_part, std::string(index_key), 0, "parts",
                             "no source has the part " + missing.front(), "parts that are published");
    // `digest + 1` keeps this report apart from a rejection of the index itself, which may still be completed.
    return report_once(offer_status::ignored, digest + 1, error).error;
}

const raw_value* version_store::find_accepted_value(const std::string& key) const
{
    if (key == fleet_key) {
        return m_fleet ? &m_raw_fleet : nullptr;
    }
    if (!m_accepted) {
        return nullptr;
    }
    if (key == index_key) {
        return &m_accepted->raw;
    }
    const auto it = m_accepted->parts.find(key);
    return it != m_accepted->parts.end() ? &it->second.raw : nullptr;
}

void version_store::erase_candidate(std::uint64_t digest)
{
    const auto has_digest = [digest](const candidate& it) { return it.raw.digest == digest; };
    m_candidates.erase(std::remove_if(m_candidates.begin(), m_candidates.end(), has_digest), m_candidates.end());
}

version_store::candidate* version_store::find_candidate(std::uint64_t digest)
{
    const auto it = std::find_if(m_candidates.begin(), m_candidates.end(),
                                 [digest](const candidate& value) { return value.raw.digest == digest; });
    return it != m_candidates.end() ? &*it : nullptr;
}

const version_store::candidate* version_store::find_candidate(std::uint64_t digest) const
{
    return const_cast<version_store*>(this)->find_candidate(digest);
}

} // namespace daisydoor::config::detail
