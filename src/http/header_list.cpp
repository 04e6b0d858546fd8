/// HTTP headers as plain values.
#include "http/header_list.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace crowstep {

namespace {

constexpr std::array<std::string_view, 10> HopByHopHeaders = {
    "Connection",        "Keep-Alive", "Proxy-Connection",
    "Transfer-Encoding", "TE",         "Trailer",
    "Upgrade",           "Expect",     "Proxy-Authorization",
    "Proxy-Authenticate"};

char toLower(char Ch) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(Ch)));
}

/// Returns whether a Connection header's list names \p Name.
bool listContains(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    const std::size_t Comma = std::min(List.find(','), List.size());
    std::string_view Item = List.substr(0, Comma);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (equalsIgnoreCase(Item, Name))
      return true;
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
  return false;
}

bool isEndToEnd(const HeaderList &All, const HeaderField &Field) {
  if (equalsIgnoreCase(Field.m_Name, "Content-Length"))
    return false;
  for (const std::string_view Name : HopByHopHeaders)
    if (equalsIgnoreCase(Field.m_Name, Name))
      return false;
  return std::none_of(All.begin(), All.end(), [&](const HeaderField &Other) {
    return equalsIgnoreCase(Other.m_Name, "Connection") &&
           listContains(Other.m_Value, Field.m_Name);
  });
}

} // namespace

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

const std::string *findHeader(const HeaderList &Headers,
                              std::string_view Name) {
  for (const HeaderField &Field : Headers)
    if (equalsIgnoreCase(Field.m_Name, Name))
      return &Field.m_Value;
  return nullptr;
}

std::size_t countHeaders(const HeaderList &Headers, std::string_view Name) {
  return static_cast<std::size_t>(std::count_if(
      Headers.begin(), Headers.end(), [&](const HeaderField &Field) {
        return equalsIgnoreCase(Field.m_Name, Name);
      }));
}

HeaderList copyHeaders(SoupMessageHeaders *Headers) {
  HeaderList Result;
  SoupMessageHeadersIter Iterator;
  soup_message_headers_iter_init(&Iterator, Headers);
  const char *Name = nullptr;
  const char *Value = nullptr;
  while (soup_message_headers_iter_next(&Iterator, &Name, &Value) != 0)
    Result.push_back({Name, Value});
  return Result;
}

HeaderList endToEndHeaders(const HeaderList &Headers) {
  HeaderList Result;
  std::copy_if(
      Headers.begin(), Headers.end(), std::back_inserter(Result),
      [&](const HeaderField &Field) { return isEndToEnd(Headers, Field); });
  return Result;
}

bool isCloseDelimited(unsigned Status, const HeaderList &Headers) {
  constexpr unsigned HttpNoContent = 204;
  constexpr unsigned HttpNotModified = 304;
  if (Status == HttpNoContent || Status == HttpNotModified)
    return false;
  const auto Coding =
      std::find_if(Headers.rbegin(), Headers.rend(), [](const auto &Field) {
        return equalsIgnoreCase(Field.m_Name, "Transfer-Encoding");
      });
  if (Coding == Headers.rend())
    return findHeader(Headers, "Content-Length") == nullptr;
  // Only chunks as the last coding have an end of their own.
  constexpr std::string_view Chunked = "chunked";
  const std::string_view Value = Coding->m_Value;
  return Value.size() < Chunked.size() ||
         !equalsIgnoreCase(Value.substr(Value.size() - Chunked.size()),
                           Chunked);
}

} // namespace crowstep
