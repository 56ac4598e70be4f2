package org.fallturn.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * The contents and parts of prompts under suspicion, found without hashing a request that has none
 * of them.
 *
 * <p>Invariant: at most {@link #MAX_SUSPECTS} are kept, and those with the most crashes stay. One
 * thread calls.
 */
final class SuspectIndex {

  /**
   * The most contents and parts to keep, some 300 bytes each. One crash adds one for each of the
   * engine's requests, 48 at most, and the parts among them that were not answered lately.
   */
  static final int MAX_SUSPECTS = 1_024;

  private final Map<RequestFingerprint, Suspect> suspects = new LinkedHashMap<>();
  private final Map<Integer, Integer> sketches = new HashMap<>();

  Collection<Suspect> all() {
    return Collections.unmodifiableCollection(suspects.values());
  }

  /** Returns a suspect, or null when there is none with the fingerprint. */
  Suspect find(RequestFingerprint fingerprint) {
    return suspects.get(fingerprint);
  }

  /** The suspects among a content and its parts. */
  List<Suspect> in(RequestContent content) {
    if (suspects.isEmpty()) {
      return List.of();
    }
    List<Suspect> found = new ArrayList<>();
    if (sketches.containsKey(content.sketch()) && suspects.containsKey(content.fingerprint())) {
      found.add(suspects.get(content.fingerprint()));
    }
    for (int index = 0; index < content.sharedParts().size(); index++) {
      Suspect part = findPart(content, index);
      if (part != null) {
        found.add(part);
      }
    }
    return found;
  }

  /** The suspects that may have caused all crashes that speak against another one. */
  Stream<Suspect> explaining(Suspect suspect) {
    return suspects.values().stream()
        .filter(other -> other != suspect && suspect.mayBeExplainedBy(other));
  }

  /**
   * Returns whether a quarantine holds for whoever learns of it alone. That of a part which
   * something else may explain does not: it is stored without engines, so that a process which
   * starts later would find nothing that explains it and hold back all that share the part.
   */
  boolean isConclusive(Suspect suspect) {
    return !suspect.content().isPart() || explaining(suspect).findAny().isEmpty();
  }

  /** Returns the suspect for one of a content's shared parts, or null when it is none. */
  Suspect findPart(RequestContent content, int index) {
    return sketches.containsKey(content.sharedParts().get(index).sketch())
        ? suspects.get(content.partFingerprints().get(index))
        : null;
  }

  /**
   * Returns the suspect with a fingerprint; adds one without evidence if there is none.
   *
   * @param evict drops the suspect that has to make room
   */
  Suspect findOrAdd(
      RequestFingerprint fingerprint, long askedNanos, long nowNanos, Consumer<Suspect> evict) {
    Suspect known = suspects.get(fingerprint);
    if (known != null) {
      return known;
    }
    if (suspects.size() >= MAX_SUSPECTS) {
      suspects.values().stream()
          .min(
              Comparator.comparing(Suspect::status)
                  .thenComparing(Suspect::crashCount)
                  .thenComparing(Suspect::askedNanos))
          .ifPresent(evict);
    }
    Suspect added = new Suspect(fingerprint, askedNanos, nowNanos);
    suspects.put(fingerprint, added);
    sketches.merge(fingerprint.sketch(), 1, Integer::sum);
    return added;
  }

  /** Removes a suspect; returns whether it was there. */
  boolean remove(Suspect suspect) {
    if (suspects.remove(suspect.content()) == null) {
      return false;
    }
    sketches.computeIfPresent(
        suspect.content().sketch(), (sketch, count) -> count == 1 ? null : count - 1);
    return true;
  }
}
