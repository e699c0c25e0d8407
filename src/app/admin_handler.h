// Answers operators' commands.
#pragma once

#include "app/daemon_parts.h"
#include "coordination/request/slo_tracker.h"
#include "protocol/admin_type.h"
#include "transport/http_server.h"

#include <functional>
#include <string>

namespace auburnhaven::app {

/**
 * Answers the operators' interface. Everything that concerns control state runs
 * on the control thread. Thread-safe.
 */
class AdminHandler : public transport::HttpHandler
{
public:
  /**
   * @param aSettings Settings of the daemon.
   * @param aParts Control state; outlives this object.
   * @param aPromises Promised worst minutes; outlives this object.
   * @param aClock Clock; outlives this object.
   */
  AdminHandler(const Settings& aSettings,
               ControlParts& aParts,
               coordination::SloTracker& aPromises,
               const state::Clock& aClock);

  void handle(std::size_t aThread,
              const transport::HttpRequest& aRequest,
              transport::HttpResponder& aResponder,
              const boost::asio::yield_context& aYield) override;

private:
  using Reply =
    std::function<void(transport::HttpResponse)>; ///< Takes the response.
  /** One route; its handler runs on the control thread. */
  struct Route
  {
    std::string_view method_; ///< Method.
    std::string_view path_;   ///< Path.
    void (AdminHandler::*handle_)(const transport::HttpRequest&,
                                  const Reply&); ///< Handler.
  };
  static const Route kRoutes[];

  void submit(const transport::HttpRequest& aRequest, const Reply& aReply);
  void config(const transport::HttpRequest& aRequest, const Reply& aReply);
  void history(const transport::HttpRequest& aRequest, const Reply& aReply);
  void progress(const transport::HttpRequest& aRequest, const Reply& aReply);
  void status(const transport::HttpRequest& aRequest, const Reply& aReply);
  void audit(const transport::HttpRequest& aRequest, const Reply& aReply);
  bool isAuthorized(const transport::HttpRequest& aRequest) const;

  const std::string authorization_;    ///< Header that operators send.
  const state::DaemonId daemon_;       ///< This daemon.
  const state::ZoneId zone_;           ///< Its zone.
  ControlParts& parts_;                ///< Control state.
  coordination::SloTracker& promises_; ///< Promised worst minutes.
  const state::Clock& clock_;          ///< Clock.
};

} // namespace auburnhaven::app
