package org.fallturn.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A snapshot of all engines that a node knows, at one revision of the store. Immutable: each change
 * builds a new directory.
 */
public final class EngineDirectory {

  private static final EngineDirectory EMPTY = new EngineDirectory(0, Map.of());

  private final long revision;
  private final Map<String, ServingEngine> engines;
  private final Map<String, List<ServingEngine>> byService;

  private EngineDirectory(long revision, Map<String, ServingEngine> engines) {
    this.revision = revision;
    this.engines = Map.copyOf(engines);
    Map<String, List<ServingEngine>> grouped = new HashMap<>();
    for (ServingEngine engine : engines.values()) {
      grouped.computeIfAbsent(engine.service(), name -> new ArrayList<>()).add(engine);
    }
    this.byService = Map.copyOf(grouped);
  }

  /** Returns the directory of a node that knows no engine yet. */
  public static EngineDirectory empty() {
    return EMPTY;
  }

  /**
   * Returns the directory of a complete list of engines.
   *
   * @param revision revision of the store at which the list was read
   * @param all all engines that the store lists
   */
  public static EngineDirectory of(long revision, Collection<ServingEngine> all) {
    Map<String, ServingEngine> engines = new HashMap<>();
    all.forEach(engine -> engines.put(engine.id(), engine));
    return new EngineDirectory(revision, engines);
  }

  /**
   * Returns this directory with further engines marked as leaving, so that they get no new
   * requests.
   *
   * @param leaves whether the engine with this id (see {@link ServingEngine#id()}) is leaving
   * @return this directory itself when all those engines are marked already
   */
  public EngineDirectory withLeaving(Predicate<String> leaves) {
    Predicate<ServingEngine> notYetMarked = engine -> !engine.leaving() && leaves.test(engine.id());
    if (engines.values().stream().noneMatch(notYetMarked)) {
      return this;
    }
    return of(
        revision,
        engines.values().stream()
            .map(engine -> notYetMarked.test(engine) ? engine.asLeaving() : engine)
            .toList());
  }

  /** Returns the revision of the store at which the engines were read. */
  public long revision() {
    return revision;
  }

  /** Returns every engine, in no particular order. */
  public Collection<ServingEngine> all() {
    return engines.values();
  }

  /** Returns the engines of one service, in no particular order. */
  public List<ServingEngine> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns the engine with this id, or empty when the directory does not list it. */
  public Optional<ServingEngine> find(String id) {
    return Optional.ofNullable(engines.get(id));
  }
}
