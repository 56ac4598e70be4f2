package org.fallturn.core.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Distributes requests over engines by water-filling: emptier engines get as many more requests as
 * bring all engines to one common level.
 *
 * <p>Many nodes decide on the same outdated load reports. If each took the engine that was least
 * loaded at the last report, together they would overfill it. The amount that is distributed
 * therefore includes the requests that all nodes send before the reports are renewed. Each node
 * draws an engine for itself with a probability in proportion to the part that the engine has in
 * this amount, so that the emptier engines get only as many more requests as they have capacity
 * for. Because of the random draw, the number of requests at an engine deviates by about the square
 * root of the number that is distributed. Stateless.
 */
public final class WaterFilling {

  /**
   * Load of an engine that requests are distributed over.
   *
   * @param level number of requests there divided by its capacity, plus penalties that make it less
   *     attractive
   * @param capacity number of requests that it processes at once, less when it is slow; above 0
   */
  public record EngineFill(double level, double capacity) {}

  /**
   * Smallest amount that is distributed. With it the emptiest engine is chosen, at random among
   * equal ones.
   */
  private static final double MIN_AMOUNT = 1e-3;

  private WaterFilling() {}

  /**
   * Chooses the engine for one request.
   *
   * @param engines the engines; at least one
   * @param amount number of requests to distribute; when it is close to 0, the emptiest engine is
   *     chosen
   * @param draw random number from 0 to below 1, uniform over requests
   * @return index of the engine in the list
   */
  public static int choose(List<EngineFill> engines, double amount, double draw) {
    double distributed = Math.max(MIN_AMOUNT, amount);
    double level = commonLevel(engines, distributed);
    double remaining = draw * distributed;
    int last = 0;
    for (int index = 0; index < engines.size(); index++) {
      double share = shareOf(engines.get(index), level);
      if (share <= 0) {
        continue;
      }
      last = index;
      remaining -= share;
      if (remaining < 0) {
        return index;
      }
    }
    return last;
  }

  private static double shareOf(EngineFill engine, double level) {
    return Math.max(0, level - engine.level()) * engine.capacity();
  }

  /** Returns the level to which the amount fills the engines that are below it. */
  static double commonLevel(List<EngineFill> engines, double amount) {
    List<EngineFill> byLevel = new ArrayList<>(engines);
    byLevel.sort(Comparator.comparingDouble(EngineFill::level));
    double filled = amount;
    double capacity = 0;
    double common = 0;
    for (EngineFill engine : byLevel) {
      if (capacity > 0 && engine.level() >= common) {
        break;
      }
      filled += engine.level() * engine.capacity();
      capacity += engine.capacity();
      common = filled / capacity;
    }
    return common;
  }
}
