/// The operators' table as CSV and JSON: round trips, and the row and column
/// that errors name.
#define BOOST_TEST_MODULE contract
#include "contract/contract_column.h"
#include "contract/contract_error.h"
#include "contract/contract_func.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace crowstep;
using namespace crowstep::contract;

namespace {

std::string fileText(const std::string &Name) {
  std::ifstream File(std::string(CROWSTEP_SOURCE_DIR) + "/examples/" + Name);
  BOOST_REQUIRE_MESSAGE(File, Name);
  return {std::istreambuf_iterator<char>(File), {}};
}

/// Generates a row with each cell drawn from its column's range.
rc::Gen<Contract> anyContract(std::uint16_t Id) {
  return rc::gen::exec([Id] {
    Contract Row;
    for (const Column &Col : columns()) {
      const auto Number = *rc::gen::inRange<std::int64_t>(
          Col.m_Min, std::min<std::int64_t>(Col.m_Max, 9999) + 1);
      if (std::holds_alternative<std::string Contract::*>(Col.m_Field))
        setCell(Row, Col,
                *rc::gen::container<std::string>(
                    static_cast<std::size_t>(Number % 20) + 1,
                    rc::gen::elementOf(std::string("az09_.:"))),
                1);
      else
        setCellText(Row, Col,
                    std::holds_alternative<bool Contract::*>(Col.m_Field)
                        ? (Number != 0 ? "yes" : "no")
                        : std::to_string(Number),
                    1);
    }
    Row.m_Id = ClassId(Id);
    return Row;
  });
}

ContractTable anyTable() {
  ContractTable Table;
  const auto Size = *rc::gen::inRange<std::uint16_t>(0, 6);
  for (std::uint16_t Id = 1; Id <= Size; ++Id)
    Table.m_Contracts.push_back(*anyContract(Id));
  return Table;
}

/// Expects that \p Function throws a TableCellError for \p Row and \p Column.
template <typename Callable>
void expectCellError(const Callable &Function, std::size_t Row,
                     const std::string &Column) {
  try {
    Function();
    BOOST_ERROR("accepted: row " << Row << ", " << Column);
  } catch (const TableCellError &Failure) {
    BOOST_TEST(Failure.row() == Row);
    BOOST_TEST(Failure.column() == Column);
  }
}

const std::string Header = "id,class,service,tier,first_token_ms,total_ms";

} // namespace

RC_BOOST_PROP(RoundTrips, ()) {
  const ContractTable Table = anyTable();
  RC_ASSERT(readCsv(writeCsv(Table)) == Table);
  RC_ASSERT(readJson(writeJson(Table)) == Table);
  RC_ASSERT(difference(Table, Table).empty());
}

RC_BOOST_PROP(ReadersNeverCrashOnDamagedText, ()) {
  std::string Csv = fileText("kilimanjaro/table.csv");
  std::string Json = writeJson(readCsv(Csv));
  for (std::string *Text : {&Csv, &Json}) {
    const auto Count = *rc::gen::inRange(1, 8);
    for (int Damage = 0; Damage < Count; ++Damage)
      (*Text)[*rc::gen::inRange<std::size_t>(0, Text->size())] =
          *rc::gen::arbitrary<char>();
  }
  try {
    validate(readCsv(Csv));
  } catch (const Error &) { // Anything else fails the test.
  }
  try {
    validate(readJson(Json));
  } catch (const Error &) {
  }
}

BOOST_AUTO_TEST_CASE(ExamplesAreValidAndSeedsHoldTheSameTable) {
  for (const std::string Name : {"kilimanjaro", "fraser-commons"}) {
    const ContractTable Table = readCsv(fileText(Name + "/table.csv"));
    BOOST_CHECK_NO_THROW(validate(Table));
    BOOST_TEST(Table.m_Contracts.size() == 4U);
    const auto Seed = nlohmann::json::parse(fileText(Name + "/platform.json"));
    const ContractTable Seeded =
        readJson(Seed["tables"]["contracts"][0]["value"].get<std::string>());
    BOOST_CHECK(Seeded.m_Contracts == Table.m_Contracts);
    BOOST_TEST(Seed["tables"]["workspaces"].size() == 11U);
  }
}

BOOST_AUTO_TEST_CASE(SpreadsheetNotationsAreRead) {
  const ContractTable Plain = readCsv(Header + "\n1,a,s,1,5,9\n");
  BOOST_TEST(Plain.m_Contracts.at(0).m_RetryPercent == 10U);
  BOOST_CHECK(readCsv("\xEF\xBB\xBF" + Header + "\r\n\"1\",a,s,1,5,9\r\n") ==
              Plain);
  BOOST_CHECK(readCsv("class;id;service;tier;first_token_ms;total_ms\n"
                      "a;1;s;1;5;9") == Plain);
  BOOST_TEST(!readCsv(Header + ",repeatable\n1,a,s,1,5,9,FALSE\n")
                  .m_Contracts.at(0)
                  .m_Repeatable);
}

BOOST_AUTO_TEST_CASE(CellErrorsNameRowAndColumn) {
  const std::string Good = Header + "\n1,a,s,1,5,9\n";
  const auto Read = [](const std::string &Text) {
    return [Text] { validate(readCsv(Text)); };
  };
  expectCellError(Read(Good + "2,b,s,7,5,9\n"), 2, "tier");
  expectCellError(Read(Good + "2,b,s,x,5,9\n"), 2, "tier");
  expectCellError(Read(Good + "2,b,s,,5,9\n"), 2, "tier");
  expectCellError(Read(Good + "2,=b,s,1,5,9\n"), 2, "class");
  expectCellError(Read(Good + "2,b,s,1,5,99999999999999999999\n"), 2,
                  "total_ms");
  expectCellError(Read(Good + "1,b,s,1,5,9\n"), 2, "id");
  expectCellError(Read(Good + "2,a,s,1,5,9\n"), 2, "class");
  expectCellError(Read(Good + "2,b,s,1,5,4\n"), 2, "total_ms");
  expectCellError(Read(Good + "2,b,s,1\n"), 2, "id");
  expectCellError(Read(Header + ",colour\n"), 0, "colour");
  expectCellError(Read(Header + ",tier\n"), 0, "tier");
  expectCellError(Read("id,class\n"), 0, "service");
  expectCellError(
      Read(Header + ",repeatable,preemptible\n1,a,s,1,5,9,no,yes\n"), 1,
      "preemptible");
  BOOST_CHECK_THROW(readCsv(""), TableFormatError);
  BOOST_CHECK_THROW(readCsv("id,\"class\n"), TableFormatError);
}

BOOST_AUTO_TEST_CASE(JsonErrorsAreTyped) {
  for (const char *Text :
       {"", "[]", "{}", R"({"format":1})", R"({"format":2,"contracts":[]})",
        R"({"format":1,"contracts":[3]})"})
    BOOST_CHECK_THROW(readJson(Text), TableFormatError);
  for (const char *Cell :
       {R"({"id":70000})", R"({"id":1.5})", R"({"id":"1"})", R"({"colour":1})",
        R"({"id":1})", R"({"id":18446744073709551615})"})
    BOOST_CHECK_THROW(
        readJson(std::string(R"({"format":1,"contracts":[)") + Cell + "]}"),
        TableCellError);
}

BOOST_AUTO_TEST_CASE(DifferenceNamesCells) {
  const ContractTable Before = readCsv(Header + "\n1,a,s,1,5,9\n2,b,s,1,5,9\n");
  const ContractTable After = readCsv(Header + "\n3,c,s,1,5,9\n1,a,s,2,5,9\n");
  const std::vector<std::string> Expected = {"b: removed", "c: added",
                                             "a.tier: 1 -> 2"};
  BOOST_TEST(difference(Before, After) == Expected,
             boost::test_tools::per_element());
}
