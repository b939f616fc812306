"""Prints a day that REPORT-3.md and KNOWN-RED.txt name: random_days_3.py NAME"""
import sys

DAYS = {
    "10-17": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 13.6, kind = "evacuate", zone = "fyn-a", for_s = 4.54, how = "" },
  { at = 16.01, kind = "scale_out", share = 0.25, gap_s = 2.0 },
]
faults = [
  { at = 13.2, kind = "clock_step", share = 0.32, x = 2458.12, for_s = 6.0, how = "back" },
  { at = 16.03, kind = "srv_slow", service = "pass-app", share = 0.2, x = 4.0, for_s = 6.0 },
  { at = 13.89, kind = "core_cut", count = 2, for_s = 4.61, how = "leader" },
  { at = 13.31, kind = "zone_cut", zone = "fyn-b", for_s = 2.51 },
  { at = 4.15, kind = "poison", how = "deadly part", share = 0.06, for_s = 22.88, class = "row-brief" },
  { at = 4.07, kind = "poison", how = "deadly part", share = 0.05, for_s = 19.13, class = "picker-chat" },
]
""",
    "2-194": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 16.5, kind = "scale_in", share = 0.15, how = "reclaim dry" },
  { at = 14.21, kind = "scale_in", share = 0.12, how = "" },
  { at = 16.97, kind = "config_storm", for_s = 3.51, gap_s = 0.22 },
  { at = 17.54, kind = "roll_term", share = 0.98, x = 2.0, gap_s = 1.08, how = "busy" },
  { at = 1.19, kind = "evacuate", zone = "fyn-c", for_s = 4.76, how = "warm" },
  { at = 2.68, kind = "evacuate", zone = "fyn-a", for_s = 9.04, how = "warm" },
  { at = 19.27, kind = "revoke", count = 2, gap_s = 0.48, how = "last" },
]
faults = [
  { at = 22.92, kind = "srv_cut", service = "frugt-lm", share = 0.26, for_s = 3.31, how = "some" },
  { at = 15.71, kind = "zone_loss", zone = "fyn-a", for_s = 3.06 },
  { at = 8.01, kind = "srv_grey", service = "pass-app", share = 0.35, for_s = 6.5, x = 0.28, how = "errors one_zone" },
  { at = 22.84, kind = "node_freeze", share = 0.16, for_s = 4.46, how = "meet" },
  { at = 24.75, kind = "core_cut", count = 1, for_s = 4.63, how = "leader" },
  { at = 27.68, kind = "platform_slow", x = 54.62, for_s = 3.81 },
  { at = 10.65, kind = "node_kill", on = "core", count = 1, for_s = 3.34, how = "reader" },
  { at = 6.87, kind = "herd_kill", on = "core", for_s = 2.0, how = "off" },
  { at = 26.29, kind = "srv_cut", service = "frugt-lm", share = 0.29, for_s = 5.97, how = "fronts" },
  { at = 24.52, kind = "node_kill", share = 0.14, for_s = 2.61, how = "" },
  { at = 6.71, kind = "platform_compact", for_s = 9.84, x = 4.23, how = "drain" },
  { at = 14.96, kind = "srv_grey", service = "frugt-lm", share = 0.4, for_s = 6.5, x = 0.32, how = "shed all" },
  { at = 7.38, kind = "core_cut", count = 2, for_s = 5.57, how = "leader meet" },
]
closing = { kind = "power_off_all", down_s = 1.0 }
""",
    "2-75": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 19.88, kind = "config_change", how = "quota" },
  { at = 16.08, kind = "evacuate", zone = "fyn-b", for_s = 17.46, how = "" },
  { at = 26.29, kind = "scale_in", share = 0.16, how = "" },
]
faults = [
  { at = 10.91, kind = "replace_with_reuse", share = 0.1, how = "drain" },
  { at = 25.76, kind = "node_slow", share = 0.17, x = 5.0, for_s = 5.0 },
  { at = 28.84, kind = "node_kill", on = "core", count = 1, for_s = 2.21, how = "power wipe leader" },
  { at = 11.73, kind = "replace_with_reuse", share = 0.18, how = "drain" },
  { at = 3.04, kind = "after_ack_kill", for_s = 2.31, how = "taken gone" },
  { at = 14.26, kind = "node_kill", on = "core", count = 1, for_s = 2.61, how = "turn meet drain" },
  { at = 13.11, kind = "zone_cut", zone = "fyn-b", for_s = 4.54 },
  { at = 1.87, kind = "replace_with_reuse", share = 0.19, how = "dark" },
]
closing = { kind = "power_off_all", down_s = 0.8, how = "all" }
""",
    "3-225": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 22.87, kind = "roll_term", share = 0.63, x = 1.0, gap_s = 1.57, how = "busy" },
  { at = 15.05, kind = "scale_out", share = 0.25, gap_s = 2.0 },
  { at = 19.37, kind = "roll_term", share = 0.45, x = 2.0, gap_s = 0.86, how = "busy" },
  { at = 2.59, kind = "evacuate", zone = "fyn-a", for_s = 18.32, how = "" },
  { at = 21.13, kind = "hup", share = 0.38, gap_s = 2.0 },
]
faults = [
  { at = 8.58, kind = "herd_kill", on = "core", for_s = 2.0, how = "taken" },
  { at = 21.71, kind = "replace_with_reuse", share = 0.14, how = "" },
  { at = 4.53, kind = "burst", x = 1.64, for_s = 3.66 },
  { at = 29.9, kind = "node_kill", on = "core", count = 1, for_s = 3.1, how = "meet" },
  { at = 21.11, kind = "platform_slow", x = 40.4, for_s = 3.02 },
  { at = 20.06, kind = "node_slow", share = 0.24, x = 5.0, for_s = 5.0 },
  { at = 28.4, kind = "clock_step", share = 0.5, x = 3351.97, for_s = 6.0, how = "back" },
  { at = 9.5, kind = "after_ack_kill", for_s = 1.28, how = "kill" },
  { at = 22.68, kind = "srv_slow", service = "frugt-lm", share = 0.28, x = 4.0, for_s = 6.0 },
]
closing = { kind = "kill_all", down_s = 0.8 }
""",
    "4-100": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 15.75, kind = "evacuate", zone = "pest-del", for_s = 12.29, how = "warm" },
  { at = 16.98, kind = "config_storm", for_s = 3.32, gap_s = 0.08 },
  { at = 15.57, kind = "evacuate", zone = "godollo", for_s = 5.35, how = "" },
  { at = 15.42, kind = "roll_term", share = 0.76, x = 1.0, gap_s = 2.0, how = "busy" },
]
faults = [
  { at = 16.3, kind = "reset_conns", share = 0.29, x = 0.53 },
  { at = 16.55, kind = "hot_key", share = 0.13, for_s = 6.0, class = "keszlet-nez" },
  { at = 17.42, kind = "give_up", share = 0.23, for_s = 5.0 },
]
closing = { kind = "kill_all", down_s = 0.8 }
""",
    "4-150": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 12.1, kind = "config_change", how = "timeout" },
  { at = 11.47, kind = "config_storm", for_s = 2.67, gap_s = 0.3 },
  { at = 12.41, kind = "evacuate", zone = "godollo", for_s = 16.13, how = "warm" },
  { at = 9.22, kind = "scale_out", share = 0.25, gap_s = 2.0 },
  { at = 14.98, kind = "roll_term", share = 0.46, x = 1.0, gap_s = 0.74, how = "" },
  { at = 10.54, kind = "revoke", count = 1, gap_s = 0.85, how = "" },
  { at = 9.6, kind = "hup", share = 0.55, gap_s = 2.0 },
  { at = 9.18, kind = "hup", share = 0.55, gap_s = 2.0 },
]
faults = [
  { at = 9.83, kind = "answer_lost", share = 0.47, x = 0.34, for_s = 5.32, how = "reset" },
  { at = 12.02, kind = "clock_step", share = 0.28, x = 2379.54, for_s = 6.0, how = "back" },
  { at = 10.36, kind = "hot_tenant", x = 5.71, for_s = 6.5 },
  { at = 11.91, kind = "zone_loss", zone = "pest-del", for_s = 2.04 },
  { at = 9.28, kind = "zone_cut", zone = "godollo", for_s = 4.92 },
  { at = 29.17, kind = "node_kill", share = 0.26, for_s = 2.47, how = "" },
  { at = 9.32, kind = "one_way", for_s = 4.04, how = "all in" },
  { at = 9.66, kind = "clock_step", share = 0.37, x = 1014.43, for_s = 6.0, how = "ahead" },
  { at = 10.78, kind = "lossy", zone = "pest-del", x = 0.02, for_s = 4.74 },
]
closing = { kind = "power_off_all", down_s = 1.0 }
""",
    "4-193": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 23.21, kind = "scale_out", share = 0.25, gap_s = 2.0 },
  { at = 19.78, kind = "evacuate", zone = "pest-del", for_s = 17.91, how = "warm" },
  { at = 9.02, kind = "roll_term", share = 0.73, x = 1.0, gap_s = 0.75, how = "leader" },
  { at = 11.91, kind = "evacuate", zone = "buda-nyugat", for_s = 14.24, how = "warm" },
  { at = 19.81, kind = "revoke", count = 2, gap_s = 1.18, how = "last" },
  { at = 0.67, kind = "revoke", count = 2, gap_s = 0.7, how = "" },
]
faults = [
  { at = 29.73, kind = "burst", x = 1.3, for_s = 2.23 },
  { at = 5.5, kind = "answer_lost", share = 0.55, x = 0.03, for_s = 4.52, how = "reset" },
  { at = 5.32, kind = "one_way", for_s = 3.85, how = "" },
  { at = 8.33, kind = "node_kill", share = 0.21, for_s = 2.54, how = "power" },
  { at = 7.27, kind = "herd_kill", share = 0.44, how = "power" },
]
closing = { kind = "power_off_all", down_s = 0.8, how = "all" }
""",
    "4-67": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 1.1, kind = "evacuate", zone = "buda-nyugat", for_s = 16.06, how = "" },
  { at = 9.15, kind = "config_storm", for_s = 3.72, gap_s = 0.19 },
  { at = 4.52, kind = "config_change", how = "route" },
  { at = 0.58, kind = "revoke", count = 2, gap_s = 0.13, how = "" },
]
faults = [
  { at = 11.79, kind = "one_way", for_s = 4.98, how = "" },
  { at = 9.25, kind = "srv_slow", service = "rendelesi-pult", share = 0.21, x = 4.0, for_s = 6.0 },
  { at = 13.42, kind = "lossy", zone = "buda-nyugat", x = 0.02, for_s = 5.82 },
  { at = 21.3, kind = "node_kill", on = "core", count = 1, for_s = 2.54, how = "leader hard" },
  { at = 8.67, kind = "node_cut", share = 0.25, for_s = 5.72, how = "servers reborn" },
  { at = 20.11, kind = "srv_grey", service = "nyelvi-gep", share = 0.39, for_s = 6.5, x = 0.37, how = "reset one_zone" },
  { at = 22.31, kind = "bridge_cut", for_s = 4.42 },
  { at = 14.5, kind = "platform_lost", x = 0.32, for_s = 3.78, how = "late" },
  { at = 19.95, kind = "zone_cut", zone = "pest-del", for_s = 4.5 },
  { at = 19.92, kind = "clock_step", share = 0.31, x = 2284.85, for_s = 6.0, how = "back" },
  { at = 3.58, kind = "node_kill", share = 0.26, for_s = 1.25, how = "" },
]
closing = { kind = "wipe_after_ack", down_s = 1.0, how = "timed" }
""",
    "7-2": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 23.01, kind = "evacuate", zone = "fyn-b", for_s = 4.63, how = "" },
  { at = 23.74, kind = "big_config" },
  { at = 15.05, kind = "config_storm", for_s = 2.68, gap_s = 0.17 },
  { at = 9.52, kind = "evacuate", zone = "fyn-a", for_s = 17.44, how = "warm" },
  { at = 11.4, kind = "scale_out", share = 0.25, gap_s = 2.0 },
  { at = 17.47, kind = "config_change", how = "idle" },
  { at = 8.56, kind = "evacuate", zone = "fyn-b", for_s = 15.47, how = "warm" },
]
faults = [
  { at = 8.1, kind = "node_freeze", share = 0.19, for_s = 3.19, how = "" },
  { at = 14.13, kind = "clock_step", share = 0.35, x = 2595.16, for_s = 6.0, how = "back" },
  { at = 8.85, kind = "reset_conns", share = 0.28, x = 0.55 },
  { at = 11.35, kind = "node_cut", share = 0.12, for_s = 5.7, how = "meet drain" },
  { at = 9.66, kind = "after_ack_kill", for_s = 1.58, how = "" },
  { at = 4.81, kind = "herd_kill", share = 0.43, how = "power" },
]
""",
    "7-5": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 16.89, kind = "revoke", count = 1, gap_s = 0.65, how = "last" },
  { at = 14.29, kind = "roll_term", share = 0.6, x = 1.0, gap_s = 1.54, how = "" },
  { at = 17.42, kind = "scale_in", share = 0.24, how = "reclaim" },
  { at = 22.48, kind = "scale_in", share = 0.24, how = "spot" },
  { at = 14.37, kind = "scale_out", share = 0.25, gap_s = 2.0 },
  { at = 5.1, kind = "evacuate", zone = "fyn-a", for_s = 19.84, how = "" },
]
faults = [
  { at = 14.55, kind = "one_way", for_s = 3.84, how = "all" },
  { at = 16.66, kind = "garble", share = 0.48, x = 0.02, for_s = 5.88, how = "unframed" },
  { at = 15.99, kind = "garble", share = 0.39, x = 0.03, for_s = 6.45, how = "" },
  { at = 13.84, kind = "one_way", for_s = 4.06, how = "all in" },
  { at = 16.27, kind = "srv_grey", service = "frugt-lm", share = 0.22, for_s = 6.5, x = 0.27, how = "shed all" },
  { at = 13.46, kind = "after_ack_kill", for_s = 2.12, how = "" },
  { at = 17.71, kind = "bridge_cut", for_s = 4.52 },
  { at = 24.28, kind = "platform_down", for_s = 4.71, how = "busy lapse" },
  { at = 21.07, kind = "bridge_cut", for_s = 5.35 },
  { at = 14.83, kind = "lossy", zone = "fyn-c", x = 0.03, for_s = 4.41 },
]
closing = { kind = "power_off_all", down_s = 0.8, how = "all" }
""",
    "8-111": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 15.56, kind = "evacuate", zone = "cz-south-c", for_s = 8.19, how = "" },
  { at = 18.21, kind = "scale_in", share = 0.14, how = "" },
  { at = 18.44, kind = "config_change", how = "weights" },
]
faults = [
  { at = 16.49, kind = "lossy", zone = "cz-south-a", x = 0.02, for_s = 4.1 },
  { at = 18.88, kind = "one_way", for_s = 4.2, how = "all in" },
  { at = 16.37, kind = "retry_abuse", x = 3.0, share = 0.3, for_s = 5.5 },
  { at = 17.52, kind = "zone_loss", zone = "cz-south-b", for_s = 3.09 },
]
""",
    "8-119": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 16.11, kind = "config_storm", for_s = 2.38, gap_s = 0.3 },
  { at = 15.76, kind = "evacuate", zone = "cz-south-a", for_s = 15.32, how = "" },
  { at = 16.29, kind = "roll_term", share = 0.66, x = 1.0, gap_s = 1.7, how = "busy" },
  { at = 16.52, kind = "config_change", how = "quota" },
]
faults = [
  { at = 13.06, kind = "hot_tenant", x = 7.36, for_s = 6.5 },
  { at = 12.79, kind = "srv_lying_health", service = "shop-backend", share = 0.1, for_s = 6.5, how = "reset" },
  { at = 14.04, kind = "clock_step", share = 0.31, x = 1193.14, for_s = 6.0, how = "ahead" },
]
closing = { kind = "wipe_after_ack", down_s = 1.0, how = "timed" }
""",
    "8-121": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 9.73, kind = "roll_term", share = 0.35, x = 1.0, gap_s = 1.77, how = "busy" },
  { at = 8.76, kind = "config_change", how = "weights" },
  { at = 10.28, kind = "evacuate", zone = "cz-south-b", for_s = 12.91, how = "warm" },
]
faults = [
  { at = 9.91, kind = "add_nodes", share = 0.75 },
  { at = 10.22, kind = "lossy", zone = "cz-south-b", x = 0.03, for_s = 4.96 },
  { at = 9.12, kind = "zone_loss", zone = "cz-south-c", for_s = 2.22 },
]
closing = { kind = "wipe_after_ack", down_s = 1.0, how = "timed" }
""",
    "8-126": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 22.95, kind = "scale_in", share = 0.2, how = "spot" },
  { at = 9.13, kind = "config_storm", for_s = 3.59, gap_s = 0.17 },
  { at = 14.32, kind = "evacuate", zone = "cz-south-a", for_s = 18.61, how = "" },
]
faults = [
  { at = 11.7, kind = "herd_kill", share = 0.53, how = "" },
  { at = 0.97, kind = "herd_kill", on = "core", for_s = 2.0, how = "off" },
  { at = 28.97, kind = "answer_lost", share = 0.53, x = 0.34, for_s = 5.16, how = "reset" },
  { at = 4.09, kind = "one_way", for_s = 3.5, how = "" },
  { at = 28.8, kind = "srv_slow", service = "shop-backend", share = 0.28, x = 4.0, for_s = 6.0 },
  { at = 27.36, kind = "herd_kill", on = "core", for_s = 2.0, how = "power" },
  { at = 24.86, kind = "hot_tenant", x = 6.22, for_s = 6.5 },
]
closing = { kind = "power_off_all", down_s = 1.0 }
""",
    "8-37": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 18.99, kind = "release", share = 0.26, x = 1.0, gap_s = 1.16, service = "model-pool" },
  { at = 26.82, kind = "config_change", how = "tenant" },
  { at = 16.36, kind = "evacuate", zone = "cz-south-c", for_s = 15.95, how = "warm" },
  { at = 9.32, kind = "big_config" },
  { at = 14.57, kind = "big_config" },
  { at = 9.49, kind = "hup", share = 0.42, gap_s = 2.0 },
]
faults = [
  { at = 21.17, kind = "burst", x = 1.64, for_s = 2.37 },
  { at = 11.45, kind = "cold_return", zone = "cz-south-a", for_s = 2.21, how = "dark" },
  { at = 8.62, kind = "cold_return", zone = "cz-south-b", for_s = 3.86, how = "dark" },
  { at = 11.56, kind = "clock_step", share = 0.43, x = 3841.93, for_s = 6.0, how = "ahead" },
  { at = 25.12, kind = "node_slow", share = 0.16, x = 5.0, for_s = 5.0 },
  { at = 4.2, kind = "platform_down", share = 0.29, for_s = 6.31, how = "nodes reset revoke meet" },
  { at = 26.14, kind = "give_up", share = 0.22, for_s = 5.0, how = "once" },
  { at = 17.91, kind = "reset_conns", share = 0.13, x = 0.57 },
  { at = 16.65, kind = "node_freeze", share = 0.31, for_s = 3.41, how = "" },
]
closing = { kind = "power_off_all", down_s = 0.8, how = "all" }
""",
    "8-58": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 6.53, kind = "scale_out", share = 0.25, gap_s = 2.0 },
  { at = 8.93, kind = "big_config" },
  { at = 9.28, kind = "evacuate", zone = "cz-south-a", for_s = 13.54, how = "" },
]
faults = [
  { at = 8.59, kind = "srv_crash", service = "shop-backend", share = 0.13, for_s = 4.04, how = "" },
  { at = 6.67, kind = "node_kill", share = 0.25, for_s = 1.98, how = "" },
  { at = 6.34, kind = "retry_abuse", x = 3.0, share = 0.3, for_s = 5.5 },
  { at = 9.06, kind = "lossy", zone = "cz-south-c", x = 0.02, for_s = 4.67 },
  { at = 29.57, kind = "node_kill", share = 0.23, for_s = 1.04, how = "power" },
  { at = 9.27, kind = "srv_flap", service = "model-pool", share = 0.11, gap_s = 1.4, for_s = 6.5 },
  { at = 3.24, kind = "cold_return", zone = "cz-south-c", for_s = 2.22, how = "dark" },
  { at = 6.84, kind = "hot_tenant", x = 4.71, for_s = 6.5 },
]
""",
    "8-6": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 12.99, kind = "revoke", count = 3, gap_s = 1.06, how = "last" },
  { at = 13.22, kind = "evacuate", zone = "cz-south-b", for_s = 15.75, how = "" },
  { at = 12.51, kind = "evacuate", zone = "cz-south-a", for_s = 17.42, how = "warm" },
  { at = 10.42, kind = "hup", share = 0.46, gap_s = 2.0 },
]
faults = [
  { at = 10.79, kind = "node_kill", on = "core", count = 1, for_s = 2.25, how = "follower" },
  { at = 12.03, kind = "after_ack_kill", for_s = 2.17, how = "taken gone" },
]
closing = { kind = "kill_all", down_s = 0.8 }
""",
    "8-61": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 16.88, kind = "config_storm", for_s = 3.43, gap_s = 0.26 },
  { at = 17.54, kind = "roll_term", share = 0.47, x = 1.0, gap_s = 1.22, how = "leader" },
  { at = 19.88, kind = "evacuate", zone = "cz-south-b", for_s = 17.32, how = "" },
  { at = 18.12, kind = "scale_in", share = 0.19, how = "reclaim dry" },
]
faults = [
  { at = 17.91, kind = "burst", x = 1.51, for_s = 3.95 },
  { at = 17.37, kind = "burst", x = 1.46, for_s = 3.94 },
]
""",
    "8-65": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 14.12, kind = "hup", share = 0.32, gap_s = 2.0 },
  { at = 15.58, kind = "hup", share = 0.43, gap_s = 2.0 },
  { at = 14.42, kind = "evacuate", zone = "cz-south-b", for_s = 14.34, how = "warm" },
  { at = 15.09, kind = "config_storm", for_s = 3.21, gap_s = 0.32 },
]
faults = [
  { at = 12.83, kind = "burst", x = 1.53, for_s = 3.67 },
  { at = 12.05, kind = "hot_key", share = 0.28, for_s = 6.0, class = "order-submit" },
  { at = 12.94, kind = "platform_lost", x = 0.33, for_s = 3.07, how = "" },
  { at = 13.93, kind = "node_freeze", share = 0.13, for_s = 3.11, how = "meet drain" },
]
""",
    "8-71": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 1.92, kind = "scale_in", share = 0.14, how = "reclaim dry" },
  { at = 29.73, kind = "roll_term", share = 0.92, x = 2.0, gap_s = 0.6, how = "leader" },
  { at = 3.07, kind = "config_storm", for_s = 3.0, gap_s = 0.11 },
  { at = 20.41, kind = "evacuate", zone = "cz-south-c", for_s = 18.83, how = "warm" },
  { at = 12.15, kind = "config_change", how = "tenant" },
  { at = 13.21, kind = "release", share = 0.36, x = 1.0, gap_s = 0.9, service = "model-pool" },
  { at = 0.45, kind = "roll_term", share = 0.4, x = 1.0, gap_s = 0.79, how = "" },
  { at = 15.99, kind = "revoke", count = 2, gap_s = 0.25, how = "last" },
]
faults = [
  { at = 5.61, kind = "platform_compact", for_s = 4.33, x = 4.46, how = "" },
  { at = 17.23, kind = "node_kill", on = "core", count = 1, for_s = 3.47, how = "power wipe leader" },
  { at = 4.02, kind = "node_kill", share = 0.26, for_s = 3.74, how = "" },
  { at = 13.62, kind = "add_nodes", share = 0.75 },
  { at = 7.01, kind = "platform_lost", x = 0.35, for_s = 3.52, how = "" },
  { at = 6.86, kind = "node_kill", on = "core", count = 1, for_s = 2.61, how = "power leader" },
  { at = 1.94, kind = "idle_race", share = 0.5, x = 300.0, for_s = 6.0 },
  { at = 8.41, kind = "retry_abuse", x = 3.0, share = 0.3, for_s = 5.5 },
]
closing = { kind = "power_off_all", down_s = 0.8, how = "all" }
""",
    "8-80": """\
name = "fuzz"
length_s = 34.0
plan = [
  { at = 15.47, kind = "evacuate", zone = "cz-south-c", for_s = 12.03, how = "warm" },
  { at = 13.36, kind = "evacuate", zone = "cz-south-b", for_s = 13.75, how = "" },
]
faults = [
  { at = 14.4, kind = "one_way", for_s = 4.08, how = "" },
  { at = 12.34, kind = "zone_loss", zone = "cz-south-a", for_s = 2.99 },
  { at = 13.4, kind = "srv_grey", service = "model-pool", share = 0.19, for_s = 6.5, x = 0.41, how = "errors" },
]
closing = { kind = "wipe_after_ack", down_s = 1.0, how = "timed" }
""",
    "long-configuration": """\
name = "long-configuration-while-rejected"
length_s = 24.0
plan = [
  { at = 2.0, kind = "big_config", count = 1500 },
  { at = 11.0, kind = "config_change", how = "route" },
  { at = 12.5, kind = "config_change", how = "route" },
  { at = 14.0, kind = "config_change", how = "route" },
]
faults = [
  { at = 8.0, kind = "platform_compact", x = 6.0, for_s = 3.0 },
  { at = 9.0, kind = "platform_down", how = "nodes silent", share = 0.35, for_s = 9.0 },
]
""",
}

sys.stdout.write(DAYS[sys.argv[1]])
