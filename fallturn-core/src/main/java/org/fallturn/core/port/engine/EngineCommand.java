package org.fallturn.core.port.engine;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;

/** What an order asks of an engine. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = EngineCommand.RaiseFence.class, name = "raise-fence"),
  @JsonSubTypes.Type(value = EngineCommand.ChangeRole.class, name = "change-role"),
  @JsonSubTypes.Type(value = EngineCommand.LoadModel.class, name = "load-model"),
  @JsonSubTypes.Type(value = EngineCommand.LoadAdapter.class, name = "load-adapter"),
  @JsonSubTypes.Type(value = EngineCommand.UnloadAdapter.class, name = "unload-adapter")
})
public sealed interface EngineCommand {

  /** Refuse every order of a lower epoch from now on; changes nothing else. */
  record RaiseFence() implements EngineCommand {}

  /**
   * Take another role. The engine serves nothing while it changes, for seconds.
   *
   * @param role the role to take
   */
  record ChangeRole(EngineRole role) implements EngineCommand {}

  /**
   * Load a version of a model from the weight store, in place of what is loaded.
   *
   * @param model the model
   * @param version its version
   */
  record LoadModel(ModelName model, String version) implements EngineCommand {}

  /**
   * Load a version of an adapter beside the model.
   *
   * @param adapter adapter name
   * @param version its version
   */
  record LoadAdapter(String adapter, String version) implements EngineCommand {}

  /**
   * Forget an adapter.
   *
   * @param adapter adapter name
   */
  record UnloadAdapter(String adapter) implements EngineCommand {}
}
