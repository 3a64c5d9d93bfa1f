/// Guards against requests that are rejected and leave no trace for operators,
/// and against keys in the log.
#define BOOST_TEST_MODULE rejected_requests
#include "rejected_requests.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "libtmnet/net_test_support.h"

namespace trefoilmill::entry {

BOOST_AUTO_TEST_CASE(a_malformed_request_is_logged_and_counted) {
  const auto file =
      std::filesystem::temp_directory_path() /
      ("rejected_requests_test." + std::to_string(getpid()) + ".log");
  telemetry process_telemetry{
      .log = logger::Create({.file = file.string()}).value(),
      .meter = metrics::Create()};
  const auto loop = MakeLoop();
  const auto server = http_server::Listen(*loop, {kTestIp, 0}, {},
                                          [](const http_request& /*request*/,
                                             const http_responder& responder) {
                                            responder.Send({});
                                          })
                          .value();
  ReportRejections(*server, "callers", process_telemetry);
  raw_client peer(*loop, server->port());
  peer.Write("GET /secret HTTP/1.1\r\nX-Key: secret\r\nX : y\r\n\r\n");
  BOOST_TEST(RunUntil(*loop, [&] { return peer.closed(); }));
  process_telemetry.log.reset();
  std::ifstream written(file);
  const std::string lines{std::istreambuf_iterator<char>(written), {}};
  std::filesystem::remove(file);
  BOOST_TEST(lines.find("\"message\":\"request rejected as malformed or too "
                        "large\",\"reason\":\"bad_request\",\"verdict\":"
                        "\"not_run\",\"detail\":\"127.") != std::string::npos);
  BOOST_TEST(lines.find("\"address\":\"callers\",\"status\":400") !=
             std::string::npos);
  BOOST_TEST(lines.find("secret") == std::string::npos);
  BOOST_TEST(process_telemetry.meter->Serialize().find(
                 "trefoilmill_rejected_requests_total{address=\"callers\","
                 "status=\"400\"} 1") != std::string::npos);
}

}  // namespace trefoilmill::entry
