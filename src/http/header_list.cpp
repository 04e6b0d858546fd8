/// HTTP headers as plain values.
#include "http/header_list.h"

#include "http/header_value.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <unordered_set>

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

std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  std::ranges::transform(Result, Result.begin(), toLower);
  return Result;
}

/// Names of headers in lower case.
using NameSet = std::unordered_set<std::string>;

/// Adds the names that a Connection header lists.
void addListed(std::string_view List, NameSet &Names) {
  while (!List.empty()) {
    const std::size_t Comma = std::min(List.find(','), List.size());
    const std::string_view Item = withoutBlanks(List.substr(0, Comma));
    if (!Item.empty())
      Names.insert(lowerCase(Item));
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
}

/// Returns the names that Connection headers list.
NameSet listedNames(const HeaderList &Headers) {
  NameSet Result;
  for (const HeaderField &Field : Headers)
    if (equalsIgnoreCase(Field.m_Name, "Connection"))
      addListed(Field.m_Value, Result);
  return Result;
}

bool isHopByHop(std::string_view Name) {
  return std::ranges::any_of(HopByHopHeaders, [&](std::string_view Known) {
    return equalsIgnoreCase(Name, Known);
  });
}

} // namespace

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

bool hasOnlyTokenCharacters(std::string_view Text) {
  constexpr std::string_view TokenCharacters =
      "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
      "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
  return Text.find_first_not_of(TokenCharacters) == std::string_view::npos;
}

bool hasOnlyValueCharacters(std::string_view Text) {
  constexpr char Delete = '\x7f';
  return std::ranges::none_of(Text, [](char Ch) {
    return (static_cast<unsigned char>(Ch) < ' ' && Ch != '\t') || Ch == Delete;
  });
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

std::size_t memoryBytesOf(const HeaderList &Headers) {
  // Shorter texts need no allocation.
  const auto Allocated = [Inline = std::string().capacity()](
                             const std::string &Text) -> std::size_t {
    return Text.capacity() > Inline ? Text.capacity() : 0;
  };
  std::size_t Result = Headers.capacity() * sizeof(HeaderField);
  for (const HeaderField &Field : Headers)
    Result += Allocated(Field.m_Name) + Allocated(Field.m_Value);
  return Result;
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

/// The time taken is linear in the size of the headers, as callers choose how
/// many there are.
HeaderList endToEndHeaders(const HeaderList &Headers) {
  const NameSet Listed = listedNames(Headers);
  HeaderList Result;
  Result.reserve(Headers.size());
  for (const HeaderField &Field : Headers)
    if (!equalsIgnoreCase(Field.m_Name, "Content-Length") &&
        !isHopByHop(Field.m_Name) &&
        (Listed.empty() || !Listed.contains(lowerCase(Field.m_Name))))
      Result.push_back(Field);
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
