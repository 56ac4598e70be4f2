package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fallturn.core.routing.ServingEngine;

/**
 * The engines that keep most of one prompt now. Made once a decision, so that pricing many
 * candidates does not look at every engine again for each. Immutable.
 */
final class PrefixHolders {

  private static final PrefixHolders NONE = new PrefixHolders(List.of(), 0);
  private static final int KEPT = 8;

  private final List<Holder> best;
  private final int soonTokens;

  /**
   * An engine that keeps the beginning of a prompt.
   *
   * @param engine the engine
   * @param tokens how many tokens of it
   */
  record Holder(ServingEngine engine, int tokens) {}

  private PrefixHolders(List<Holder> best, int soonTokens) {
    this.best = best;
    this.soonTokens = soonTokens;
  }

  /** Nobody keeps any of it. */
  static PrefixHolders none() {
    return NONE;
  }

  /**
   * The best of those that keep some.
   *
   * @param soonTokens the most that any engine keeps, or is about to have read
   */
  static PrefixHolders of(List<Holder> holders, int soonTokens) {
    List<Holder> sorted = new ArrayList<>(holders);
    sorted.sort(Comparator.comparingInt((Holder holder) -> -holder.tokens()));
    List<Holder> kept = sorted.subList(0, Math.min(KEPT, sorted.size()));
    return new PrefixHolders(List.copyOf(kept), soonTokens);
  }

  /** Tokens of the prompt that some engine keeps, or is about to have read. */
  int soonTokens() {
    return soonTokens;
  }

  /** Whom an engine would copy from: who keeps most, and of those one of its own zone. */
  Optional<Holder> sourceFor(ServingEngine engine) {
    Holder found = null;
    for (Holder holder : best) {
      if (holder.engine().id().equals(engine.id())) {
        continue;
      }
      if (found != null && holder.tokens() < found.tokens()) {
        break;
      }
      boolean near = holder.engine().zone().equals(engine.zone());
      if (found == null || near) {
        found = holder;
      }
      if (near) {
        break;
      }
    }
    return Optional.ofNullable(found);
  }
}
