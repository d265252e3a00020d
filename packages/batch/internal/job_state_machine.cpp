#include "batch/job_state_machine.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::batch {

namespace {

bool satisfies(const item_result& result, const job& requirements) {
    const bool is_new_enough = std::all_of(
        result.versions.begin(), result.versions.end(),
        [&](const weight_version& version) { return version >= requirements.oldest_version; });
    return is_new_enough && (!requirements.needs_single_version || result.versions.size() == 1);
}

} // namespace

command_result job_state_machine::apply(const command& committed) {
    return std::visit([this](const auto& alternative) { return this->on(alternative); }, committed);
}

command_result job_state_machine::on(const submit_job& submission) {
    if (this->records.contains(submission.content.id)) {
        return command_result::repeated;
    }
    this->erase_expired_jobs(submission.content.submitted);
    job_record record;
    record.content = submission.content;
    record.retained_until = submission.content.submitted + submission.retention;
    for (std::size_t i = 0; i < record.content.items.size(); ++i) {
        record.item_indices.emplace(record.content.items[i].id, i);
    }
    job_record& inserted =
        this->records.emplace(submission.content.id, std::move(record)).first->second;
    this->reuse_results(inserted);
    return command_result::done;
}

void job_state_machine::reuse_results(job_record& record) {
    for (const job_item& item : record.content.items) {
        const job_record* earlier = this->find_completed(record.content.account, item.id);
        if (earlier == nullptr) {
            continue;
        }
        const item_result& result = earlier->results.at(earlier->positions.at(item.id));
        const job_item* earlier_item = earlier->find_item(item.id);
        const bool has_same_scorer = earlier_item != nullptr && earlier_item->scorer == item.scorer;
        if (satisfies(result, record.content) && has_same_scorer) {
            const item_result copy = result;
            append_result(record, copy);
            this->index_completed_result(copy, record);
        }
    }
}

const job_record* job_state_machine::find_completed(const account_name& account,
                                                    const item_id& item) const {
    const auto items = this->completed_items.find(account);
    if (items == this->completed_items.end()) {
        return nullptr;
    }
    const auto entry = items->second.find(item);
    return entry == items->second.end() ? nullptr : &this->records.at(entry->second);
}

void job_state_machine::append_result(job_record& record, const item_result& result) {
    record.positions.emplace(result.item, record.results.size());
    record.results.push_back(result);
}

command_result job_state_machine::on(const append_results& request) {
    const auto found = this->records.find(request.job);
    if (found == this->records.end()) {
        return command_result::no_such_job;
    }
    job_record& record = found->second;
    bool is_new = false;
    for (const item_result& result : request.results) {
        if (record.find_item(result.item) == nullptr || record.has_result(result.item)) {
            continue;
        }
        append_result(record, result);
        is_new = true;
        this->index_completed_result(result, record);
    }
    return is_new ? command_result::done : command_result::repeated;
}

command_result job_state_machine::on(const end_job& request) {
    const auto found = this->records.find(request.job);
    if (found == this->records.end()) {
        return command_result::no_such_job;
    }
    return std::exchange(found->second.is_ended, true) ? command_result::repeated
                                                       : command_result::done;
}

command_result job_state_machine::on(const read_barrier& /*request*/) {
    return command_result::done;
}

const job_record* job_state_machine::find(const job_id& job) const {
    const auto found = this->records.find(job);
    return found == this->records.end() ? nullptr : &found->second;
}

void job_state_machine::erase_expired_jobs(wall_time now) {
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        const job_record& record = entry->second;
        const bool is_expired = record.is_ended
                                    ? record.retained_until < now
                                    : record.retained_until + unended_job_retention < now;
        if (!is_expired) {
            ++entry;
            continue;
        }
        const job_record expired = std::move(entry->second);
        entry = this->records.erase(entry);
        this->remove_from_index(expired);
    }
}

void job_state_machine::remove_from_index(const job_record& record) {
    const account_name& account = record.content.account;
    auto& items = this->completed_items[account];
    for (const item_result& result : record.results) {
        const auto entry = items.find(result.item);
        if (entry == items.end() || entry->second != record.content.id) {
            continue;
        }
        items.erase(entry);
        for (const auto& [id, other] : this->records) {
            const auto position = other.positions.find(result.item);
            if (position != other.positions.end() && other.content.account == account) {
                this->index_completed_result(other.results.at(position->second), other);
            }
        }
    }
    if (items.empty()) {
        this->completed_items.erase(account);
    }
}

void job_state_machine::index_completed_result(const item_result& result,
                                               const job_record& record) {
    if (!result.is_completed) {
        return;
    }
    const auto newest = [](const item_result& candidate) {
        return candidate.versions.empty() ? weight_version() : candidate.versions.back();
    };
    const job_id& id = record.content.id;
    const job_record* current = this->find_completed(record.content.account, result.item);
    if (current != nullptr) {
        const weight_version other =
            newest(current->results.at(current->positions.at(result.item)));
        const bool is_better =
            newest(result) > other || (newest(result) == other && id > current->content.id);
        if (!is_better) {
            return;
        }
    }
    this->completed_items[record.content.account].insert_or_assign(result.item, id);
}

job_snapshot_piece job_state_machine::save(const job_record& record, std::size_t first,
                                           std::size_t bytes) {
    job_snapshot_piece piece;
    piece.is_continued = first > 0;
    if (piece.is_continued) {
        piece.content.id = record.content.id;
    } else {
        piece.content = record.content;
    }
    piece.retained_until = record.retained_until;
    piece.is_ended = record.is_ended;
    std::size_t size = 0;
    for (std::size_t i = first; i < record.results.size() && (i == first || size < bytes); ++i) {
        size += record.results[i].text.size();
        piece.results.push_back(record.results[i]);
    }
    return piece;
}

void job_state_machine::load(const job_snapshot_piece& piece) {
    job_record& record = this->records[piece.content.id];
    if (!piece.is_continued) {
        record.content = piece.content;
        record.retained_until = piece.retained_until;
        record.is_ended = piece.is_ended;
        for (std::size_t i = 0; i < record.content.items.size(); ++i) {
            record.item_indices.emplace(record.content.items[i].id, i);
        }
    }
    for (const item_result& result : piece.results) {
        append_result(record, result);
        this->index_completed_result(result, record);
    }
}

} // namespace kingcupcart::batch
