package org.fallturn.core.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Divides requests over engines so that all end at one level, like water over connected vessels.
 *
 * <p>It answers many nodes that decide on the same old word of load: each would take the engine
 * that was emptiest a moment ago, and all together would overfill it. What the fleet places before
 * the word is renewed is part of what is divided, so that each node, drawing for itself, leaves to
 * the emptier engines only as much more as they have room for. Its limit: who draws is spread as
 * chance spreads, by about the root of the number that is placed. Pure.
 */
public final class WaterFilling {

  /**
   * An engine that requests are divided over.
   *
   * @param level requests there by its capacity, and what else makes it less attractive
   * @param capacity requests it works on at once, less where it is slow; above 0
   */
  public record EngineFill(double level, double capacity) {}

  /** Chooses the emptiest, and any of several that are alike. */
  private static final double LEAST_AMOUNT = 1e-3;

  private WaterFilling() {}

  /**
   * The place in the list of the engine for one request.
   *
   * @param vessels at least one
   * @param amount requests that are divided; where it is next to nothing, the emptiest is chosen
   * @param draw from 0 to below 1, even over requests
   */
  public static int choose(List<EngineFill> vessels, double amount, double draw) {
    double divided = Math.max(LEAST_AMOUNT, amount);
    double level = commonLevel(vessels, divided);
    double left = draw * divided;
    int last = 0;
    for (int index = 0; index < vessels.size(); index++) {
      double part = partOf(vessels.get(index), level);
      if (part <= 0) {
        continue;
      }
      last = index;
      left -= part;
      if (left < 0) {
        return index;
      }
    }
    return last;
  }

  private static double partOf(EngineFill vessel, double level) {
    return Math.max(0, level - vessel.level()) * vessel.capacity();
  }

  /** The level up to which the amount fills the vessels that stand below it. */
  static double commonLevel(List<EngineFill> vessels, double amount) {
    List<EngineFill> byLevel = new ArrayList<>(vessels);
    byLevel.sort(Comparator.comparingDouble(EngineFill::level));
    double filled = amount;
    double capacity = 0;
    double common = 0;
    for (EngineFill vessel : byLevel) {
      if (capacity > 0 && vessel.level() >= common) {
        break;
      }
      filled += vessel.level() * vessel.capacity();
      capacity += vessel.capacity();
      common = filled / capacity;
    }
    return common;
  }
}
