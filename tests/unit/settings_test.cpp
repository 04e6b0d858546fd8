/// Checked settings: what is accepted, and what an error names.
#define BOOST_TEST_MODULE settings
#include "core/error.h"
#include "core/settings.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(ReadsTypedValues) {
  Settings File = Settings::parse(
      "[a]\ncount = 7\nwait_ms=250\nwhere=127.0.0.1:80\non=yes\n", "x.ini");
  BOOST_TEST(File.integer("a", "count", 1, 9) == 7);
  BOOST_TEST(
      (File.milliseconds("a", "wait_ms", Duration::zero(), 1s) == 250ms));
  BOOST_TEST(toString(File.address("a", "where")) == "127.0.0.1:80");
  BOOST_TEST(File.boolean("a", "on"));
  BOOST_CHECK_NO_THROW(File.rejectUnknown());
}

BOOST_AUTO_TEST_CASE(ErrorNamesFileSectionKeyValueAndRange) {
  Settings File = Settings::parse("[a]\ncount = 70\n", "x.ini");
  try {
    File.integer("a", "count", 1, 9);
    BOOST_FAIL("70 was accepted");
  } catch (const SettingError &Failure) {
    BOOST_TEST(std::string(Failure.what()) ==
               "x.ini: [a] count = '70': allowed: 1 to 9");
  }
}

BOOST_AUTO_TEST_CASE(UnknownKeyIsAnError) {
  const Settings File = Settings::parse("[a]\nmisspelt = 1\n", "x.ini");
  BOOST_CHECK_THROW(File.rejectUnknown(), SettingError);
}

/// Guards against a misspelt choice that is taken for the default.
BOOST_AUTO_TEST_CASE(ChoiceMustBeListed) {
  Settings File = Settings::parse("[a]\nx=two\ny=tow\n", "file");
  BOOST_TEST(File.choice("a", "x", {"one", "two"}, 0) == 1U);
  BOOST_TEST(File.choice("a", "z", {"one", "two"}, 1) == 1U);
  BOOST_CHECK_THROW(File.choice("a", "y", {"one", "two"}, 0), SettingError);
}

BOOST_AUTO_TEST_CASE(AddressMustBeLiteral) {
  for (const char *Text : {"localhost:80", "127.0.0.1", "127.0.0.1:", ":80",
                           "127.0.0.1:70000", "127.0.0.1:80x"}) {
    Settings File =
        Settings::parse(std::string("[a]\nwhere=") + Text + "\n", "x.ini");
    BOOST_CHECK_THROW(File.address("a", "where"), SettingError);
  }
}
