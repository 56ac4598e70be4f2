package org.fallturn.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * What speaks for and against one content.
 *
 * <p>Invariant: a crash before the last good answer does not count, since a content that crashes
 * every engine is never answered well. One thread calls.
 */
final class Suspect {

  /** The operators' bound: a content under which so many engines ended is to be held back. */
  private static final int CRASHES_TO_QUARANTINE = 3;

  /** One crash may be chance, a second seldom is: one in so many engines crashes in a second. */
  private static final int CRASHES_TO_SUSPECT = 2;

  /**
   * Engines of one rack end within some ms when it loses power; the crashes of one content are
   * apart by the time it takes to send and begin it, some 100 ms between the first and the third.
   */
  private static final long ONE_CAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * An engine that is heard so long after it seemed to crash has not crashed. Longer than what it
   * said before is under way: 25 ms until it is noticed, 250 ms until others have told of it.
   */
  private static final long ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** After which a verdict stands whatever is heard later: twice the time to hear of a sign. */
  private static final long CONFIRM_NANOS = 2 * ALIVE_NANOS;

  /** The store is told again of what is still asked for, well before it lapses there. */
  private static final long RENEW_NANOS =
      TimeUnit.MILLISECONDS.toNanos(Quarantine.LIFETIME_MILLIS / 3);

  private final RequestFingerprint content;
  private final Map<String, Long> crashes = new HashMap<>();
  private final Set<String> explained = new HashSet<>();
  private OptionalLong goodNanos = OptionalLong.empty();
  private OptionalLong confirmedNanos = OptionalLong.empty();
  private OptionalLong storedNanos = OptionalLong.empty();
  private OptionalLong storeDueNanos = OptionalLong.empty();
  private long askedNanos;
  private long changedNanos;
  private long toldNanos;
  private Standing standing = Standing.CLEAR;
  private Standing noticed = Standing.CLEAR;

  Suspect(RequestFingerprint content, long askedNanos, long nowNanos) {
    this.content = content;
    this.askedNanos = askedNanos;
    this.changedNanos = nowNanos;
    this.toldNanos = nowNanos;
  }

  RequestFingerprint content() {
    return content;
  }

  Standing standing() {
    return standing;
  }

  /** To be called after each change of what speaks for or against it. */
  private void weigh() {
    standing = weighed();
  }

  private Standing weighed() {
    if (confirmed()) {
      return Standing.QUARANTINED;
    }
    List<Long> counted =
        crashes.entrySet().stream()
            .filter(crash -> !explained.contains(crash.getKey()))
            .map(Map.Entry::getValue)
            .toList();
    if (counted.size() >= CRASHES_TO_QUARANTINE && apart(counted)) {
      return Standing.QUARANTINED;
    }
    return counted.size() >= CRASHES_TO_SUSPECT ? Standing.SUSPECTED : Standing.CLEAR;
  }

  private boolean confirmed() {
    return confirmedNanos.isPresent();
  }

  private static boolean apart(List<Long> times) {
    long first = times.get(0);
    long least = 0;
    long most = 0;
    for (long at : times) {
      least = Math.min(least, at - first);
      most = Math.max(most, at - first);
    }
    return most - least >= ONE_CAUSE_NANOS;
  }

  List<String> engines() {
    return List.copyOf(crashes.keySet());
  }

  int crashCount() {
    return crashes.size();
  }

  /** Whether anything is known that others should hear. */
  boolean says() {
    return confirmed() || goodNanos.isPresent() || !crashes.isEmpty();
  }

  boolean stored() {
    return storedNanos.isPresent();
  }

  long askedNanos() {
    return askedNanos;
  }

  /** Whether this was news. */
  boolean onCrash(String engineId, long atNanos, long nowNanos) {
    if (crashes.containsKey(engineId) || goodSince(atNanos)) {
      return false;
    }
    crashes.put(engineId, atNanos);
    changedNanos = nowNanos;
    weigh();
    return true;
  }

  private boolean goodSince(long nanos) {
    return goodNanos.isPresent() && goodNanos.getAsLong() - nanos >= 0;
  }

  /** It was answered well. Whether this was news. */
  boolean onGood(long atNanos, long nowNanos) {
    if (goodSince(atNanos)) {
      return false;
    }
    goodNanos = OptionalLong.of(atNanos);
    boolean voids = crashes.values().removeIf(this::goodSince);
    if (confirmed() && goodSince(confirmedNanos.getAsLong())) {
      confirmedNanos = OptionalLong.empty();
      voids = true;
    }
    if (voids) {
      changedNanos = nowNanos;
      weigh();
    }
    return voids;
  }

  /** Somebody sent it. */
  void onAsked(long atNanos) {
    if (atNanos - askedNanos > 0) {
      askedNanos = atNanos;
    }
  }

  /** It stays in quarantine for what was known at a moment. Whether this was news. */
  boolean confirm(long atNanos, long nowNanos) {
    if (confirmed() || goodSince(atNanos)) {
      return false;
    }
    confirmedNanos = OptionalLong.of(atNanos);
    changedNanos = nowNanos;
    weigh();
    return true;
  }

  /** Nobody has asked for it for so long that it may have changed what engines make of it. */
  void lapse() {
    crashes.clear();
    confirmedNanos = OptionalLong.empty();
    goodNanos = OptionalLong.empty();
    weigh();
  }

  /** The store holds it. */
  void onStored(long nowNanos) {
    storedNanos = OptionalLong.of(nowNanos);
    storeDueNanos = OptionalLong.empty();
  }

  void onRemovedFromStore() {
    storedNanos = OptionalLong.empty();
  }

  /** Takes away the crashes of engines that were heard later; whether there were any. */
  boolean forgive(Function<String, OptionalLong> lastHeard) {
    boolean forgiven =
        !confirmed()
            && crashes
                .entrySet()
                .removeIf(crash -> livesAfter(lastHeard.apply(crash.getKey()), crash.getValue()));
    if (forgiven) {
      weigh();
    }
    return forgiven;
  }

  private static boolean livesAfter(OptionalLong heardNanos, long crashNanos) {
    return heardNanos.isPresent() && heardNanos.getAsLong() - crashNanos > ALIVE_NANOS;
  }

  /** Crashes that a content in quarantine with more crashes explains do not count here. */
  void setCulprits(List<Suspect> culprits) {
    explained.clear();
    for (Suspect culprit : culprits) {
      if (culprit.crashCount() > crashCount()) {
        explained.addAll(culprit.crashes.keySet());
      }
    }
    weigh();
  }

  void confirmWhenSettled(long nowNanos) {
    if (!confirmed() && standing() == Standing.QUARANTINED) {
      long newest = newestCrash();
      if (nowNanos - newest >= CONFIRM_NANOS) {
        confirm(newest, nowNanos);
      }
    }
  }

  private long newestCrash() {
    return crashes.values().stream().reduce((a, b) -> a - b > 0 ? a : b).orElseThrow();
  }

  /** What is thought of it, when that has changed since the last call. */
  boolean takeChange() {
    boolean changed = noticed != standing();
    noticed = standing();
    return changed;
  }

  /** The store should be asked at once to hold it, should it be in quarantine. */
  void storeAtOnce(long nowNanos) {
    if (standing() == Standing.QUARANTINED && !stored()) {
      storeDueNanos = OptionalLong.of(nowNanos);
    }
  }

  /** Whether the store should be asked now to hold it; then not again for a while. */
  boolean takeStoreDue(long firstPauseNanos, long pauseNanos, long nowNanos) {
    if (standing() != Standing.QUARANTINED || storeHoldsIt(nowNanos)) {
      return false;
    }
    if (storeDueNanos.isEmpty()) {
      storeDueNanos = OptionalLong.of(nowNanos + firstPauseNanos);
    }
    if (nowNanos - storeDueNanos.getAsLong() < 0) {
      return false;
    }
    storeDueNanos = OptionalLong.of(nowNanos + pauseNanos);
    return true;
  }

  /** What was asked for since it was written is to be written again before it lapses there. */
  private boolean storeHoldsIt(long nowNanos) {
    if (storedNanos.isEmpty()) {
      return false;
    }
    long written = storedNanos.getAsLong();
    return askedNanos - written <= 0 || nowNanos - written < RENEW_NANOS;
  }

  /** Whether others should hear of it now: for a while after each change, else now and then. */
  boolean takeTellDue(long whileNanos, long pauseNanos, long nowNanos) {
    boolean fresh = nowNanos - changedNanos < whileNanos;
    boolean again = standing() == Standing.QUARANTINED && nowNanos - toldNanos >= pauseNanos;
    if (fresh || again) {
      toldNanos = nowNanos;
    }
    return fresh || again;
  }

  /** When others were told of it last. */
  long toldNanos() {
    return toldNanos;
  }

  CrashReport report(long nowNanos) {
    Map<String, Long> ages = new HashMap<>();
    crashes.forEach((engine, at) -> ages.put(engine, millis(nowNanos - at)));
    return new CrashReport(
        content,
        age(confirmedNanos, nowNanos),
        stored(),
        millis(nowNanos - askedNanos),
        age(goodNanos, nowNanos),
        ages);
  }

  private static long age(OptionalLong nanos, long nowNanos) {
    return nanos.isPresent() ? millis(nowNanos - nanos.getAsLong()) : CrashReport.NEVER;
  }

  private static long millis(long nanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos));
  }
}
