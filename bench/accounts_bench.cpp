// Time of a look-up in a table of 10,000 accounts with 3 keys each, and memory of the table for
// each key. Exits with 1 above 200 ns or 200 bytes.
#include "accounts/account_table.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::accounts;

namespace {

constexpr int account_count = 10'000;
constexpr int keys_per_account = 3;
constexpr std::size_t key_length = 32;
constexpr int rounds = 5;
constexpr double max_ns = 200;
constexpr double max_bytes = 200;

std::vector<account> make_accounts(std::mt19937_64& random) {
    std::vector<account> accounts;
    for (int i = 0; i < account_count; ++i) {
        account added;
        added.name = account_name("account-" + std::to_string(i));
        added.priority = i % 4;
        for (int k = 0; k < keys_per_account; ++k) {
            std::string key;
            while (key.size() < key_length) {
                key.push_back(static_cast<char>('a' + random() % 26));
            }
            added.keys.emplace_back(key);
        }
        accounts.push_back(std::move(added));
    }
    return accounts;
}

std::size_t used_bytes() {
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

} // namespace

int main() {
    std::mt19937_64 random(1);
    const std::vector<account> accounts = make_accounts(random);
    const std::size_t before = used_bytes();
    const auto built = account_table::build(accounts);
    const double bytes =
        static_cast<double>(used_bytes() - before) / account_count / keys_per_account;
    const auto* table = std::get_if<account_table>(&built);
    if (table == nullptr) {
        std::printf("the accounts are not valid\n");
        return 1;
    }
    std::vector<credentials> requests;
    for (const account& owner : accounts) {
        for (const api_key& key : owner.keys) {
            requests.push_back({credentials_form::key, key});
        }
    }
    std::shuffle(requests.begin(), requests.end(), random);
    double best_ns = 1e9;
    std::size_t granted = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (const credentials& stated : requests) {
            granted += table->find(stated.key) != nullptr ? 1 : 0;
        }
        const std::chrono::duration<double, std::nano> took =
            std::chrono::steady_clock::now() - start;
        best_ns = std::min(best_ns, took.count() / static_cast<double>(requests.size()));
    }
    std::printf("%d accounts, %zu keys: look-up %.0f ns (best of %d rounds), %.0f bytes a key\n",
                account_count, table->key_count(), best_ns, rounds, bytes);
    return granted == requests.size() * rounds && best_ns < max_ns && bytes < max_bytes ? 0 : 1;
}
