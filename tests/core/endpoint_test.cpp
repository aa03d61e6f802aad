#include "core/endpoint.h"

#include <gtest/gtest.h>

using namespace fireflydrift::core;

TEST(Endpoint, ParsesHostAndPort) {
  auto Value = parseEndpoint("10.0.0.9:65535");
  ASSERT_TRUE(Value);
  EXPECT_EQ(*Value, (Endpoint{"10.0.0.9", 65535}));
}

// Another writer may leave any text in a report's address.
TEST(Endpoint, RejectsWhatIsNoEndpoint) {
  for (const char *Text : {"",
                           ":",
                           "10.0.0.9",
                           "10.0.0.9:",
                           ":80",
                           "10.0.0.9:0",
                           "10.0.0.9:-1",
                           "10.0.0.9:+1",
                           "10.0.0.9:65536",
                           "10.0.0.9:99999",
                           "10.0.0.9:4294967376",
                           "10.0.0.9:80 ",
                           "10.0.0.9: 80",
                           "10.0.0.9:8o",
                           "999.1.1.1:80",
                           "10.0.0:80",
                           "0.0.0.0:80",
                           "255.255.255.255:80",
                           "host:80",
                           "::1:80",
                           "10.0.0.9:80:80"})
    EXPECT_FALSE(parseEndpoint(Text)) << Text;
}
