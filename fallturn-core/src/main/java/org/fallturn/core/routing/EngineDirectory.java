package org.fallturn.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The engines that a node knows, at one position of the store's history. Immutable; made again
 * whole at each change.
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

  /** No engine is known yet. */
  public static EngineDirectory empty() {
    return EMPTY;
  }

  /** The whole list as read at a position. */
  public static EngineDirectory of(long revision, Collection<ServingEngine> all) {
    Map<String, ServingEngine> engines = new HashMap<>();
    all.forEach(engine -> engines.put(engine.id(), engine));
    return new EngineDirectory(revision, engines);
  }

  /**
   * The whole list as read next. An engine that has said that it leaves never takes that back: an
   * entry that says otherwise was written before and came late.
   */
  public EngineDirectory next(long nextRevision, Collection<ServingEngine> listed) {
    return of(nextRevision, listed.stream().map(this::stillLeaving).toList());
  }

  private ServingEngine stillLeaving(ServingEngine listed) {
    boolean left = find(listed.id()).filter(ServingEngine::leaving).isPresent();
    return left && !listed.leaving() ? listed.asLeaving() : listed;
  }

  /** Position in the store's history. */
  public long revision() {
    return revision;
  }

  /** Every engine. */
  public Collection<ServingEngine> all() {
    return engines.values();
  }

  /** The engines of one service, in no particular order. */
  public List<ServingEngine> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** One engine, when its entry is there. */
  public Optional<ServingEngine> find(String id) {
    return Optional.ofNullable(engines.get(id));
  }
}
