// Reads whole files.

#include "app/file_func.h"

#include <fstream>
#include <sstream>

namespace auburnhaven::app {

state::leaf::result<std::string>
readFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return state::leaf::new_error(
      state::InputErrors{ { { aPath, 0, "", "cannot be read" } } });
  }
  return text.str();
}

} // namespace auburnhaven::app
