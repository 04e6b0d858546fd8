/// Checked INI settings over GKeyFile.
#include "core/settings.h"

#include "core/error.h"
#include "instance_error.h"

#include <algorithm>
#include <charconv>
#include <glib.h>
#include <sstream>

namespace crowstep {

namespace {

std::string rangeText(const std::string &Min, const std::string &Max) {
  return Min + " to " + Max;
}

std::string trimmed(const std::string &Text) {
  const char *Blanks = " \t";
  const std::size_t Begin = Text.find_first_not_of(Blanks);
  if (Begin == std::string::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Blanks) - Begin + 1);
}

} // namespace

Settings Settings::load(const std::string &Path) {
  char *Content = nullptr;
  gsize Length = 0;
  GError *Failure = nullptr;
  if (g_file_get_contents(Path.c_str(), &Content, &Length, &Failure) == 0) {
    const std::string Reason = Failure->message;
    g_error_free(Failure);
    throw SettingsFileError(Path, Reason);
  }
  const std::string Text(Content, Length);
  g_free(Content);
  return parse(Text, Path);
}

Settings Settings::parse(const std::string &Text, const std::string &Name) {
  Settings Result;
  Result.m_Name = Name;
  Result.m_File = std::shared_ptr<GKeyFile>(g_key_file_new(), g_key_file_free);
  GError *Failure = nullptr;
  if (g_key_file_load_from_data(Result.m_File.get(), Text.data(), Text.size(),
                                G_KEY_FILE_NONE, &Failure) == 0) {
    const std::string Reason = Failure->message;
    g_error_free(Failure);
    throw SettingsFileError(Name, Reason);
  }
  return Result;
}

std::optional<std::string> Settings::find(const std::string &Section,
                                          const std::string &Key) {
  m_KnownKeys.emplace(Section, Key);
  char *Value = g_key_file_get_string(m_File.get(), Section.c_str(),
                                      Key.c_str(), nullptr);
  if (Value == nullptr)
    return std::nullopt;
  std::string Result = trimmed(Value);
  g_free(Value);
  return Result;
}

void Settings::throwSettingError(const std::string &Section,
                                 const std::string &Key,
                                 const std::string &Value,
                                 const std::string &Allowed) const {
  throw SettingError(m_Name, Section, Key, Value, Allowed);
}

std::string Settings::text(const std::string &Section, const std::string &Key,
                           std::optional<std::string> Default) {
  std::optional<std::string> Value = find(Section, Key);
  if (Value)
    return *Value;
  if (!Default)
    throwSettingError(Section, Key, "", "a text; it must be given");
  return *Default;
}

template <typename Number>
Number Settings::numberBetween(const std::string &Section,
                               const std::string &Key, Number Min, Number Max,
                               std::optional<Number> Default) {
  const std::optional<std::string> Value = find(Section, Key);
  const std::string Allowed =
      rangeText(std::to_string(Min), std::to_string(Max));
  if (!Value) {
    if (!Default)
      throwSettingError(Section, Key, "", Allowed + "; it must be given");
    return *Default;
  }
  Number Result{};
  const char *End = Value->data() + Value->size();
  const auto Parsed = std::from_chars(Value->data(), End, Result);
  // Comparisons with "nan" are false, so this form rejects it.
  const bool InRange = Result >= Min && Result <= Max;
  if (Parsed.ec != std::errc() || Parsed.ptr != End || !InRange)
    throwSettingError(Section, Key, *Value, Allowed);
  return Result;
}

std::int64_t Settings::integer(const std::string &Section,
                               const std::string &Key, std::int64_t Min,
                               std::int64_t Max,
                               std::optional<std::int64_t> Default) {
  return numberBetween(Section, Key, Min, Max, Default);
}

double Settings::number(const std::string &Section, const std::string &Key,
                        double Min, double Max, std::optional<double> Default) {
  return numberBetween(Section, Key, Min, Max, Default);
}

bool Settings::boolean(const std::string &Section, const std::string &Key,
                       std::optional<bool> Default) {
  const std::optional<std::string> Value = find(Section, Key);
  if (!Value) {
    if (!Default)
      throwSettingError(Section, Key, "", "yes or no; it must be given");
    return *Default;
  }
  if (*Value != "yes" && *Value != "no")
    throwSettingError(Section, Key, *Value, "yes or no");
  return *Value == "yes";
}

std::size_t Settings::choice(const std::string &Section, const std::string &Key,
                             const std::vector<std::string> &Allowed,
                             std::size_t Default) {
  const std::optional<std::string> Value = find(Section, Key);
  if (!Value)
    return Default;
  const auto Found = std::find(Allowed.begin(), Allowed.end(), *Value);
  if (Found == Allowed.end()) {
    std::string List;
    for (const std::string &Entry : Allowed)
      List += (List.empty() ? "" : " ") + Entry;
    throwSettingError(Section, Key, *Value, List);
  }
  return static_cast<std::size_t>(Found - Allowed.begin());
}

Address Settings::address(const std::string &Section, const std::string &Key,
                          std::optional<Address> Default) {
  const std::optional<std::string> Value = find(Section, Key);
  if (!Value && Default)
    return *Default;
  const std::string Allowed = "an IPv4 address and port, as 127.0.0.1:8080";
  if (!Value)
    throwSettingError(Section, Key, "", Allowed + "; it must be given");
  try {
    return parseAddress(*Value);
  } catch (const AddressError &) {
    throwSettingError(Section, Key, *Value, Allowed);
  }
}

std::vector<Address> Settings::addresses(const std::string &Section,
                                         const std::string &Key) {
  std::vector<Address> Result;
  std::istringstream Items(find(Section, Key).value_or(""));
  for (std::string Item; std::getline(Items, Item, ';');) {
    try {
      if (!trimmed(Item).empty())
        Result.push_back(parseAddress(trimmed(Item)));
    } catch (const AddressError &) {
      throwSettingError(Section, Key, Item,
                        "IPv4 addresses with ports, between semicolons");
    }
  }
  return Result;
}

Duration Settings::milliseconds(const std::string &Section,
                                const std::string &Key, Duration Min,
                                Duration Max, std::optional<Duration> Default) {
  using std::chrono::duration_cast;
  std::optional<std::int64_t> Count;
  if (Default)
    Count = duration_cast<std::chrono::milliseconds>(*Default).count();
  return std::chrono::milliseconds(integer(
      Section, Key, duration_cast<std::chrono::milliseconds>(Min).count(),
      duration_cast<std::chrono::milliseconds>(Max).count(), Count));
}

std::vector<std::string> Settings::sections(const std::string &Prefix) const {
  std::vector<std::string> Result;
  char **Groups = g_key_file_get_groups(m_File.get(), nullptr);
  for (char **Group = Groups; *Group != nullptr; ++Group)
    if (std::string(*Group).starts_with(Prefix))
      Result.emplace_back(*Group);
  g_strfreev(Groups);
  return Result;
}

void Settings::rejectUnknown() const {
  for (const std::string &Section : sections("")) {
    char **Keys =
        g_key_file_get_keys(m_File.get(), Section.c_str(), nullptr, nullptr);
    std::vector<std::string> Names;
    for (char **Key = Keys; Key != nullptr && *Key != nullptr; ++Key)
      Names.emplace_back(*Key);
    g_strfreev(Keys);
    for (const std::string &Name : Names)
      if (!m_KnownKeys.contains({Section, Name}))
        throwSettingError(Section, Name, "", "no such setting");
  }
}

} // namespace crowstep
