# Planted faults: copies of one source file with one place changed, each built into a program of its own. A cut
# whose place is no longer found stops the configuration, so that none can silently become the sound program.
set(cut_options -w -O1)  # a fault may leave code that nothing reaches
add_precompiled_headers(lab_cut_headers ${cut_options})
function(lab_cut name file what with)
  file(READ ${CMAKE_SOURCE_DIR}/src/${file} text)
  string(FIND "${text}" "${what}" at)
  if(at EQUAL -1)
    message(FATAL_ERROR "cut ${name}: its place is not in src/${file} any more; move it")
  endif()
  string(REPLACE "${what}" "${with}" text "${text}")
  get_filename_component(leaf ${file} NAME)
  set(copy ${CMAKE_CURRENT_BINARY_DIR}/cuts/${name}/${leaf})
  file(GENERATE OUTPUT ${copy} CONTENT "${text}")
  set_property(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR} APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${file})
  if(file MATCHES "^policy/")
    # The module: the lab itself, in virtual time.
    add_executable(lab_cut_${name} ${CMAKE_SOURCE_DIR}/lab/main.cpp ${copy})
    target_include_directories(lab_cut_${name} SYSTEM PRIVATE ${CLI11_INCLUDE})
    target_link_libraries(lab_cut_${name} PRIVATE lemonchute_lab_experiment)
    target_compile_definitions(lab_cut_${name} PRIVATE ${lab_program_words})
  else()
    add_executable(lab_cut_${name} ${CMAKE_SOURCE_DIR}/src/main.cpp ${copy})
    target_link_libraries(lab_cut_${name} PRIVATE lemonchute_net)
  endif()
  target_compile_options(lab_cut_${name} PRIVATE ${cut_options})
  target_precompile_headers(lab_cut_${name} REUSE_FROM lab_cut_headers)
  add_dependencies(lemonchute_lab_tests lab_cut_${name})
  add_dependencies(lemonchute_fleet_tests lab_cut_${name})
endfunction()

# In the module.
lab_cut(drain policy/backend_selector.cpp "return backend.endpoint.state == EndpointState::kReady && !backend.offline;"
        "return backend.endpoint.state != EndpointState::kRemoved && !backend.offline;")
lab_cut(cold policy/backend/slow_start.cpp "return budget_s_ > 0;" "return true;")
lab_cut(ceiling policy/quota/quota_manager.cpp
        "if (plan.ceiling_units_per_s > 0 && customer->bucket.ceiling_tokens < request.units) return over_ceiling;"
        "return {QuotaDecision::kInside, 1, RejectReason::kCeiling};")
lab_cut(unanswered policy/balancer.cpp "sink->Reject(id, settings_.retry_after_allowed"
        "if (id % 16 != 0) sink->Reject(id, settings_.retry_after_allowed")
lab_cut(told_twice policy/quota/counter_channel.cpp "action.counter_delta = call.delta;"
        "action.counter_delta = 2 * call.delta;")
# In the network code.
lab_cut(copies net/request_lifecycle.cpp "  request.attempts.back().pool_attempt = pool_.Send("
        "  for (int i = 0; i < 3; ++i) pool_.Send(backend, AttemptMessage(message), {timeout_s, 0}, [](AttemptEnd) {}, {});
  request.attempts.back().pool_attempt = pool_.Send(")
lab_cut(late net/request_lifecycle.cpp "  Respond(action.request_id, std::move(response));"
        "  auto late = std::make_shared<asio::steady_timer>(io_, std::chrono::seconds(9));
  in_flight_.at(action.request_id).deadline += std::chrono::seconds(9);
  late->async_wait([this, late, id = action.request_id, response](error_code) { Respond(id, response); });")
lab_cut(tardy net/request_lifecycle.cpp "  Respond(action.request_id, std::move(response));"
        "  InFlightRequest& refused = in_flight_.at(action.request_id);
  auto late = std::make_shared<asio::steady_timer>(io_, refused.client_deadline + std::chrono::milliseconds(100));
  refused.deadline += std::chrono::seconds(9);
  late->async_wait([this, late, id = action.request_id, response](error_code) { Respond(id, response); });")
lab_cut(body net/request_lifecycle.cpp "  server_.Reply(request.connection, std::move(response));"
        "  if (response.status == 200 && id % 8 == 0) response.body = \"{}\";
  server_.Reply(request.connection, std::move(response));")
lab_cut(crash net/request_lifecycle.cpp "void RequestLifecycle::Respond(uint32_t id, ClientResponse response) {"
        "void RequestLifecycle::Respond(uint32_t id, ClientResponse response) {
  if (id == 60) std::abort();")
lab_cut(descriptors net/request_lifecycle.cpp "void RequestLifecycle::Respond(uint32_t id, ClientResponse response) {"
        "void RequestLifecycle::Respond(uint32_t id, ClientResponse response) {
  std::tmpfile();")
lab_cut(record net/maintenance.cpp "  if (path_.empty()) return false;" "  return false;")
lab_cut(figure net/backend_connection.cpp "++pool_->metrics_->requests_written;" "")
lab_cut(readiness net/request_lifecycle.cpp "response.status = target == \"/-/ready\" ? ready_status : kStatusNotFound;"
        "response.status = 200;")
lab_cut(reload net/configuration_manager.cpp "void ConfigurationManager::ReloadFile(int attempts_left) {"
        "void ConfigurationManager::ReloadFile(int attempts_left) {
  if (attempts_left >= 0) return;")
# Between gateways.
lab_cut(storm net/members.cpp "    send_failed_ += failed ? 1 : 0;"
        "    for (int i = 0; i < 40; ++i) socket_.send_to(asio::buffer(datagram.bytes), config_->peers[datagram.to], 0, failed);")
lab_cut(blind membership/view.cpp "  if (!newer) return false;"
        "  if (!newer || (update.state == State::kDead && self_ % 2 == 0)) return false;")
