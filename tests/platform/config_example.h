// An operator's configuration as the platform stores it.
#pragma once

namespace auburnhaven::fakes {

/** Two routes, a service of model engines, a plain one, an account. */
inline constexpr char kConfig[] = R"({"version":7,"route_table":[
 {"name":"r1","hostname":"a.example","prefix":"/x/","route_type":"streaming",
  "timeout_ms":8000,"target_latency_ms":500,"priority":1,
  "weighted_backends":[{"backend":"s1","weight":90},{"backend":"s2","weight":10}],
  "max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,
  "target_itl_ms":300},
 {"name":"r2","hostname":"a.example","prefix":"/y/","route_type":"idempotent",
  "timeout_ms":800,"target_latency_ms":150,"priority":2,"backend":"s2",
  "max_attempts":2,"public":true}],
 "backends":[{"name":"s1","health_check_path":"/healthz","max_connections":698,
  "runtime":{"batch_slots":26,"kv_capacity":1400000,"step_ms":6.07,
   "per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,
   "pairs_per_m":0.7,"report_lag_ms":200.0,"loads_per_s":4.0,"loads_at_once":6,
   "usual":{"prompt":1076,"answer":116},"batch_form_ms":300,
   "model_list":[{"name":"m0","size":4,"work_share":0.67,"pace":1.0,
    "load_time_s":16.0,"warm_s":1.6}]}},
  {"name":"s2","max_connections":244}],
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":3}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":4194304,
  "header_timeout_ms":5000,"idle_timeout_ms":20000},"new_field":1})";

} // namespace auburnhaven::fakes
