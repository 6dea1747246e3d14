#include "core/message.hpp"

#include <algorithm>

namespace meadowyard::core {

bool EqualFieldNames(std::string_view a, std::string_view b) {
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c; };
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
}

void Fields::Add(std::string_view name, std::string_view value) {
  const auto offset = static_cast<std::uint32_t>(text_.size());
  text_.append(name).append(value);
  entries_.push_back(
      {offset, static_cast<std::uint32_t>(name.size()), static_cast<std::uint32_t>(value.size())});
}

void Fields::Set(std::string_view name, std::string_view value) {
  Erase(name);
  Add(name, value);
}

void Fields::Erase(std::string_view name) {
  std::erase_if(entries_, [&](const Entry& entry) { return EqualFieldNames(NameOf(entry), name); });
}

std::string_view Fields::Get(std::string_view name) const {
  for (const Entry& entry : entries_) {
    if (EqualFieldNames(NameOf(entry), name)) return ValueOf(entry);
  }
  return {};
}

std::size_t Fields::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return EqualFieldNames(NameOf(entry), name);
  }));
}

}  // namespace meadowyard::core
