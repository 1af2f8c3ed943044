// The operator's file: read whole or refused with lines that name a place; what is read can be explained.
#include <cstdlib>

#include "operator_file/explain.hpp"
#include "operator_file/reader.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace chutevane;
  try {
    const operator_file::Model model = operator_file::read({reinterpret_cast<const char*>(data), size}, "f");
    operator_file::ExplainQuery q;
    q.host = "a.example", q.path = "/p/q", q.method = "GET";
    if (operator_file::explain(model, q).empty() || operator_file::summary(model).empty()) std::abort();
  } catch (const operator_file::OperatorFileError& e) {
    if (std::string_view(e.what()).substr(0, 2) != "f:") std::abort();
  }
  return 0;
}
