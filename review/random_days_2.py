"""Prints a random day of this review for a site file.

usage: random_days.py SITE SEED heavy|wide"""
import json
import random
import sys
import tomllib

PLANNED = {"release", "scale_out", "scale_in", "config_change",
           "config_storm", "revoke", "roll_term", "evacuate", "hup",
           "add_nodes"}


def entry(item):
    fields = ", ".join(f"{k} = {json.dumps(v)}" for k, v in item.items())
    return "  { " + fields + " },"


def day(site, seed, heavy):
    pool = [dict(item) for item in site["troubles"]]
    for standard in site["day"]:
        for item in standard.get("plan", []) + standard.get("faults", []):
            pool.append({k: v for k, v in item.items() if k != "at"})
    closings = [standard["closing"] for standard in site["day"]
                if "closing" in standard]
    return (heavy_day if heavy else wide_day)(site, seed, pool, closings)


def text(seed, length, closing, plan, faults):
    out = f'name = "r{seed}"\nlength_s = {length}\n'
    if closing:
        fields = ", ".join(f"{k} = {json.dumps(v)}"
                           for k, v in closing.items())
        out += "closing = { " + fields + " }\n"
    return (out + "plan = [\n" + "\n".join(map(entry, plan)) +
            "\n]\nfaults = [\n" + "\n".join(map(entry, faults)) + "\n]\n")


def heavy_day(_site, seed, pool, closings):
    known = []
    for item in pool:
        if item not in known:
            known.append(item)
    draw = random.Random(seed)
    length = draw.choice([34, 50, 70, 92])
    count = draw.randint(15, 38)
    kinds = sorted({item["kind"] for item in known})
    chosen = draw.sample(kinds, min(len(kinds), draw.randint(3, 9)))
    fitting = [item for item in known if item["kind"] in chosen]
    plan, faults = [], []
    for _ in range(count):
        item = dict(draw.choice(fitting))
        item = {"at": round(draw.uniform(0.2, length - 3), 2), **item}
        (plan if item["kind"] in PLANNED else faults).append(item)
    closing = draw.choice(closings) if draw.random() < .4 else None
    return text(seed, length, closing, plan, faults)


def wide_day(site, seed, pool, closings):
    svc = [item["name"] for item in site["services"]]
    zones = [item["name"] for item in site["zones"]]
    X=[]
    for sv in svc:
        for h in ['errors','shed','busy','hang','reset','mute']: X.append(dict(kind='srv_grey',service=sv,share=.15,x=.4,for_s=5,how=h))
        X.append(dict(kind='srv_grey',service=sv,share=.15,x=8,for_s=5,how='slow'))
        for h in ['','dark','domain']: X.append(dict(kind='srv_crash',service=sv,share=.17,for_s=4.5,how=h))
        X.append(dict(kind='srv_crash',service=sv,share=.15,how='gone'))
        for h in ['','reset','reborn','some','some lossy','one_way']: X.append(dict(kind='srv_cut',service=sv,share=.2,for_s=5,how=h))
        for h in ['','drain','dark']: X.append(dict(kind='replace_with_reuse',service=sv,share=.15,how=h))
        X.append(dict(kind='srv_slow',service=sv,share=.15,x=4,for_s=5))
        for h in ['','extra','unframed','early','extra late']: X.append(dict(kind='garble',service=sv,share=.5,x=.03,for_s=5,how=h))
        for h in ['','reset']: X.append(dict(kind='answer_lost',service=sv,share=.5,x=.03,for_s=5,how=h))
        X.append(dict(kind='release',service=sv,share=.45,x=1.0,gap_s=1.0))
    for h in ['silent','busy','reset','silent lapse','busy lapse','reset lapse']: X.append(dict(kind='platform_down',for_s=4.5,how=h))
    for h in ['nodes','nodes busy','nodes many','nodes reset','nodes leader','nodes busy revoke','nodes many meet','nodes reset drain','nodes revoke drain']: X.append(dict(kind='platform_down',share=.33,for_s=9.0,how=h))
    for h in ['','late']: X.append(dict(kind='platform_lost',x=.35,for_s=4.5,how=h))
    X.append(dict(kind='platform_slow',x=60.0,for_s=4.5))
    X.append(dict(kind='platform_compact',x=5.5,for_s=12.0,how='drain'))
    for h in ['','leader','all','near','behind','split','one_way','leader race','meet','drain','reset']: X.append(dict(kind='core_cut',count=1,for_s=5.5,how=h))
    for h in ['','all','servers','servers reborn','reset','refuse','reset revoke','meet']: X.append(dict(kind='node_cut',share=.17,for_s=5.5,how=h))
    for h in ['','power','leader','turn','reader','meet drain','hard']: X.append(dict(kind='node_kill',share=.16,for_s=3.5,how=h))
    X.append(dict(kind='node_freeze',share=.11,for_s=3.5)); X.append(dict(kind='node_freeze',share=.11,for_s=3.5,how='renewed'))
    for h in ['','busy','remove','leader']: X.append(dict(kind='roll_term',share=.45,x=1,gap_s=1.0,how=h))
    X.append(dict(kind='node_slow',share=.1,x=5,for_s=5))
    for h in ['','power']: X.append(dict(kind='herd_kill',share=.55,for_s=2.0,how=h))
    for h in ['','kill','timed','taken']: X.append(dict(kind='after_ack_kill',for_s=3.0,how=h))
    X.append(dict(kind='hup',share=.6,gap_s=2.0)); X.append(dict(kind='reset_conns',share=.35,x=.55))
    X.append(dict(kind='zone_loss',for_s=5)); X.append(dict(kind='zone_cut',for_s=5)); X.append(dict(kind='bridge_cut',for_s=5.5))
    X.append(dict(kind='lossy',x=.025,for_s=5.5,zone=zones[0]))
    for h in ['back','ahead']: X.append(dict(kind='clock_step',share=.28,x=2400.0,for_s=6.0,how=h))
    for h in ['route','weights','timeout','tenant','quota','idle']: X.append(dict(kind='config_change',how=h))
    X.append(dict(kind='revoke',count=2,gap_s=1.5)); X.append(dict(kind='revoke',count=3,gap_s=.3,how='last'))
    for z in zones:
      X.append(dict(kind='evacuate',zone=z,for_s=8.0,how='')); X.append(dict(kind='cold_return',zone=z,for_s=4.5)); X.append(dict(kind='cold_return',zone=z,for_s=4.5,how='dark'))
    for h in ['','spot','reclaim']: X.append(dict(kind='scale_in',share=.15,how=h))
    X.append(dict(kind='give_up',share=.2,for_s=5.5)); X.append(dict(kind='give_up',share=.2,for_s=5.5,how='once'))
    closings = closings + [
        dict(kind="power_off_all", down_s=1.3, how="timed"),
        dict(kind="kill_all", down_s=1.0, how="taken")]
    draw = random.Random(seed)
    length = draw.choice([34, 50, 70])
    count = draw.randint(5, 22)
    by_kind = {}
    for item in X + pool:
        by_kind.setdefault(item["kind"], []).append(item)
    kinds = draw.sample(sorted(by_kind),
                        min(len(by_kind), draw.randint(2, 6)))
    plan, faults = [], []
    for _ in range(count):
        kind = draw.choice(kinds)
        item = {"at": round(draw.uniform(0.2, length - 3), 2),
                **{k: v for k, v in draw.choice(by_kind[kind]).items()
                   if v != ""}}
        (plan if kind in PLANNED else faults).append(item)
    closing = draw.choice(closings) if draw.random() < .3 else None
    return text(seed, length, closing, plan, faults)


if __name__ == "__main__":
    with open(sys.argv[1], "rb") as file:
        print(day(tomllib.load(file), int(sys.argv[2]),
                  sys.argv[3] == "heavy"), end="")
