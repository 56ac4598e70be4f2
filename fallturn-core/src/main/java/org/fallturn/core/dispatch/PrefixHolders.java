package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fallturn.core.routing.ServingEngine;

/**
 * The engines that have the longest beginnings of one prompt in their KV caches now. Built once for
 * each decision, so that estimating the cost at many candidates does not search all engines for
 * each of them. Immutable.
 */
final class PrefixHolders {

  private static final PrefixHolders NONE = new PrefixHolders(List.of(), 0);
  private static final int MAX_HOLDERS = 8;

  private final List<Holder> longest;
  private final int soonTokens;

  /**
   * An engine that has the beginning of a prompt in its KV cache.
   *
   * @param engine the engine
   * @param tokens number of tokens at the beginning of the prompt that it has cached
   */
  record Holder(ServingEngine engine, int tokens) {}

  private PrefixHolders(List<Holder> longest, int soonTokens) {
    this.longest = longest;
    this.soonTokens = soonTokens;
  }

  /** Returns an instance for a prompt that no engine has cached. */
  static PrefixHolders none() {
    return NONE;
  }

  /**
   * Keeps those of the given engines that have cached most.
   *
   * @param soonTokens the most tokens that any engine has cached or is about to have read
   */
  static PrefixHolders of(List<Holder> holders, int soonTokens) {
    List<Holder> sorted = new ArrayList<>(holders);
    sorted.sort(Comparator.comparingInt((Holder holder) -> -holder.tokens()));
    List<Holder> kept = sorted.subList(0, Math.min(MAX_HOLDERS, sorted.size()));
    return new PrefixHolders(List.copyOf(kept), soonTokens);
  }

  /** Returns the most tokens of the prompt that any engine has cached or is about to have read. */
  int soonTokens() {
    return soonTokens;
  }

  /**
   * Returns the engine from which the given one would copy: another engine that has cached most,
   * and among equals one of the same zone.
   */
  Optional<Holder> sourceFor(ServingEngine engine) {
    Holder found = null;
    for (Holder holder : longest) {
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
