#include "celeryline/settings/Logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace celeryline {

void setUpLogging(const LoggingSettings& settings, const std::string& instance)
{
    log4cxx::LayoutPtr layout;
    if (settings.layout == "json") {
        layout = std::make_shared<log4cxx::JSONLayout>();
    } else {
        layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p " + instance + " %c: %m%n");
    }
    log4cxx::AppenderPtr appender;
    if (settings.file.empty()) {
        appender
            = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    } else {
        appender = std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
    }
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(settings.level));
}

log4cxx::LoggerPtr logger(const std::string& module) { return log4cxx::Logger::getLogger(module); }

} // namespace celeryline
