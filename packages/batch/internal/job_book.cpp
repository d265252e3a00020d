#include "batch/job_book.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::batch {

namespace {

bool fits(const item_result& result, const job& wanted) {
    const bool is_fresh = std::all_of(
        result.versions.begin(), result.versions.end(),
        [&](const weight_version& version) { return version >= wanted.oldest_version; });
    return is_fresh && (!wanted.needs_single_version || result.versions.size() == 1);
}

} // namespace

command_result job_book::apply(const command& agreed) {
    return std::visit([this](const auto& alternative) { return this->on(alternative); }, agreed);
}

command_result job_book::on(const submit_job& submitted) {
    if (this->records.contains(submitted.content.id)) {
        return command_result::repeated;
    }
    this->forget_before(submitted.content.submitted);
    job_record record;
    record.content = submitted.content;
    record.keep_until = submitted.content.submitted + submitted.retention;
    for (std::size_t i = 0; i < record.content.items.size(); ++i) {
        record.item_indices.emplace(record.content.items[i].id, i);
    }
    job_record& kept = this->records.emplace(submitted.content.id, std::move(record)).first->second;
    this->reuse_results(kept);
    return command_result::done;
}

void job_book::reuse_results(job_record& record) {
    for (const job_item& item : record.content.items) {
        const item_result* earlier = this->find_completed(item.id);
        if (earlier != nullptr && fits(*earlier, record.content)) {
            const item_result copy = *earlier;
            list(record, copy);
            this->remember_completed(copy, record);
        }
    }
}

const item_result* job_book::find_completed(const item_id& item) const {
    const auto in = this->completed_in.find(item);
    if (in == this->completed_in.end()) {
        return nullptr;
    }
    const job_record& record = this->records.at(in->second);
    return &record.results.at(record.positions.at(item));
}

void job_book::list(job_record& record, const item_result& result) {
    record.positions.emplace(result.item, record.results.size());
    record.results.push_back(result);
}

command_result job_book::on(const list_results& listed) {
    const auto found = this->records.find(listed.job);
    if (found == this->records.end()) {
        return command_result::no_such_job;
    }
    job_record& record = found->second;
    bool is_new = false;
    for (const item_result& result : listed.results) {
        if (record.find_item(result.item) == nullptr || record.is_listed(result.item)) {
            continue;
        }
        list(record, result);
        is_new = true;
        this->remember_completed(result, record);
    }
    return is_new ? command_result::done : command_result::repeated;
}

command_result job_book::on(const end_job& ended) {
    const auto found = this->records.find(ended.job);
    if (found == this->records.end()) {
        return command_result::no_such_job;
    }
    return std::exchange(found->second.is_ended, true) ? command_result::repeated
                                                       : command_result::done;
}

command_result job_book::on(const confirm_state& /*asked*/) {
    return command_result::done;
}

const job_record* job_book::find(const job_id& job) const {
    const auto found = this->records.find(job);
    return found == this->records.end() ? nullptr : &found->second;
}

void job_book::forget_before(wall_time now) {
    for (auto item = this->records.begin(); item != this->records.end();) {
        const job_record& record = item->second;
        const bool is_over =
            record.is_ended ? record.keep_until < now : record.keep_until + abandoned_after < now;
        if (!is_over) {
            ++item;
            continue;
        }
        const job_record gone = std::move(item->second);
        item = this->records.erase(item);
        this->forget(gone);
    }
}

void job_book::forget(const job_record& record) {
    for (const item_result& result : record.results) {
        const auto in = this->completed_in.find(result.item);
        if (in == this->completed_in.end() || in->second != record.content.id) {
            continue;
        }
        this->completed_in.erase(in);
        for (const auto& [id, other] : this->records) {
            const auto position = other.positions.find(result.item);
            if (position != other.positions.end()) {
                this->remember_completed(other.results.at(position->second), other);
            }
        }
    }
}

void job_book::remember_completed(const item_result& result, const job_record& record) {
    if (!result.is_completed) {
        return;
    }
    const auto newest = [](const item_result& one) {
        return one.versions.empty() ? weight_version() : one.versions.back();
    };
    const item_result* known = this->find_completed(result.item);
    const job_id& id = record.content.id;
    const bool is_better =
        known == nullptr || newest(result) > newest(*known) ||
        (newest(result) == newest(*known) && id > this->completed_in.at(result.item));
    if (is_better) {
        this->completed_in.insert_or_assign(result.item, id);
    }
}

saved_job job_book::save(const job_record& record, std::size_t first, std::size_t bytes) {
    saved_job part;
    part.is_continued = first > 0;
    if (part.is_continued) {
        part.content.id = record.content.id;
    } else {
        part.content = record.content;
    }
    part.keep_until = record.keep_until;
    part.is_ended = record.is_ended;
    std::size_t size = 0;
    for (std::size_t i = first; i < record.results.size() && (i == first || size < bytes); ++i) {
        size += record.results[i].text.size();
        part.results.push_back(record.results[i]);
    }
    return part;
}

void job_book::load(const saved_job& saved) {
    job_record& record = this->records[saved.content.id];
    if (!saved.is_continued) {
        record.content = saved.content;
        record.keep_until = saved.keep_until;
        record.is_ended = saved.is_ended;
        for (std::size_t i = 0; i < record.content.items.size(); ++i) {
            record.item_indices.emplace(record.content.items[i].id, i);
        }
    }
    for (const item_result& result : saved.results) {
        list(record, result);
        this->remember_completed(result, record);
    }
}

} // namespace kingcupcart::batch
