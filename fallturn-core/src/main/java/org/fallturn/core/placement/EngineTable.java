package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Urgency;

/**
 * The engines of a pool, ordered by load. Each change of an engine goes through {@link #change}, so
 * that an engine stands in an ordered set exactly while it takes requests of that role, at the
 * place its counts give it.
 */
final class EngineTable {
  private final int decodeSlots;
  private final Map<EngineId, EngineSlot> engines = new HashMap<>();
  private final TreeSet<EngineSlot> decode = new TreeSet<>(EngineSlot.BY_DECODE_LOAD);
  private final Map<Urgency, TreeSet<EngineSlot>> prefill = new EnumMap<>(Urgency.class);
  private int usedDecodeSlots;

  EngineTable(int decodeSlots) {
    this.decodeSlots = decodeSlots;
    for (Urgency urgency : Urgency.values()) {
      prefill.put(urgency, new TreeSet<>(EngineSlot.byPrefillBacklog(urgency)));
    }
  }

  EngineSlot find(EngineId engine) {
    return engines.get(engine);
  }

  Collection<EngineSlot> all() {
    return engines.values();
  }

  List<EngineSlot> byName() {
    List<EngineSlot> sorted = new ArrayList<>(engines.values());
    sorted.sort(Comparator.comparing(slot -> slot.engine));
    return sorted;
  }

  void add(EngineSlot slot) {
    engines.put(slot.engine, slot);
    putIn(slot);
  }

  void remove(EngineSlot slot) {
    takeOut(slot);
    engines.remove(slot.engine);
  }

  /** Changes a slot and keeps the order right. */
  void change(EngineSlot slot, Runnable change) {
    takeOut(slot);
    change.run();
    putIn(slot);
  }

  /** The least loaded decode engines that are not excluded, least loaded first. */
  List<EngineSlot> leastLoadedDecode(Set<EngineId> excluded, int limit) {
    return first(decode, excluded, limit);
  }

  /** The prefill engines with the least work before this urgency that are not excluded. */
  List<EngineSlot> leastLoadedPrefill(Urgency urgency, Set<EngineId> excluded, int limit) {
    return first(prefill.get(urgency), excluded, limit);
  }

  int prefillEngines() {
    return prefill.get(Urgency.BATCH).size();
  }

  int decodeEngines() {
    return decode.size();
  }

  int freeDecodeSlots() {
    return Math.max(0, decodeSlots * decode.size() - usedDecodeSlots);
  }

  private static List<EngineSlot> first(
      TreeSet<EngineSlot> slots, Set<EngineId> excluded, int limit) {
    List<EngineSlot> found = new ArrayList<>(limit);
    for (EngineSlot slot : slots) {
      if (found.size() >= limit) {
        break;
      }
      if (!excluded.contains(slot.engine)) {
        found.add(slot);
      }
    }
    return found;
  }

  private void takeOut(EngineSlot slot) {
    if (decode.remove(slot)) {
      usedDecodeSlots -= slot.decodeLoad();
    }
    prefill.values().forEach(slots -> slots.remove(slot));
  }

  private void putIn(EngineSlot slot) {
    if (slot.serves(EngineRole.DECODE)) {
      decode.add(slot);
      usedDecodeSlots += slot.decodeLoad();
    } else if (slot.serves(EngineRole.PREFILL)) {
      prefill.values().forEach(slots -> slots.add(slot));
    }
  }
}
