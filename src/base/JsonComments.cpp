#include "celeryline/base/JsonComments.h"

#include <algorithm>

namespace celeryline {

std::string stripJsonComments(std::string json)
{
    bool inString = false;
    std::size_t i = 0;
    auto replaceWithSpacesUntil = [&](std::size_t end) {
        for (end = std::min(end, json.size()); i < end; ++i) {
            json[i] = json[i] == '\n' ? '\n' : ' ';
        }
    };
    while (i < json.size()) {
        if (inString && json[i] == '\\') {
            i += 2;
        } else if (!inString && json.compare(i, 2, "//") == 0) {
            replaceWithSpacesUntil(json.find('\n', i));
        } else if (!inString && json.compare(i, 2, "/*") == 0) {
            auto end = json.find("*/", i + 2);
            replaceWithSpacesUntil(end == std::string::npos ? json.size() : end + 2);
        } else {
            inString = inString != (json[i] == '"');
            ++i;
        }
    }
    return json;
}

} // namespace celeryline
