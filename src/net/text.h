// Text parsing helpers.
#ifndef LEMONCHUTE_NET_TEXT_H_
#define LEMONCHUTE_NET_TEXT_H_

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace lemonchute::net {

/// Parses the whole of `text` as a number.
/// @return false if it is not one, or if it does not fit into T
template <typename T>
bool ParseNumber(std::string_view text, T* value, int base = 10) {
  if (text.empty()) return false;
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<T>) {
    result = std::from_chars(text.data(), text.data() + text.size(), *value);
  } else {
    result = std::from_chars(text.data(), text.data() + text.size(), *value, base);
  }
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

/// Removes leading and trailing spaces and tabs.
inline std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

/// @return the value of `name` in a list of name=value pairs
inline std::optional<std::string_view> FindValue(std::string_view list, char separator,
                                                 std::string_view name) {
  while (!list.empty()) {
    size_t end = std::min(list.find(separator), list.size());
    std::string_view part = Trim(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
    size_t equals = part.find('=');
    if (equals != std::string_view::npos && Trim(part.substr(0, equals)) == name) {
      return Trim(part.substr(equals + 1));
    }
  }
  return std::nullopt;
}

/// Decodes percent-encoded bytes (%41 is A). A malformed escape stays as it is.
inline std::string PercentDecode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    if (text[i] == '%' && i + 2 < text.size() && ParseNumber(text.substr(i + 1, 2), &code, 16)) {
      out += static_cast<char>(code);
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_TEXT_H_
