package org.fallturn.node.callers;

import java.util.List;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.RuleRecord;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.configuration.ServiceRecord.ModelTarget;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.PrefixBlocks;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.request.RequestSpec;
import org.fallturn.node.json.MalformedMessageException;

/** Serves completions: reads and checks the request, then starts its exchange. Thread-safe. */
final class CompletionsHandler {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int DEFAULT_MAX_TOKENS = 256;

  private final CallerServices services;

  CompletionsHandler(CallerServices services) {
    this.services = services;
  }

  /** One call in progress, with what is known of it before its body was read. */
  private record Call(
      CallerRequest caller, CompletionStyle style, CallerHeaders headers, TenantRecord tenant) {}

  /** Handles one call of either path. */
  void handle(CompletionStyle style, CallerRequest caller) throws FallturnException {
    CallerHeaders headers = CallerHeaders.read(caller.request().getHeaders());
    ConfigurationImage image = services.configuration().get();
    TenantRecord tenant = CallerIdentity.authenticate(image, caller.request().getHeaders());
    Call call = new Call(caller, style, headers, tenant);
    BodyReader.read(
        caller.request(),
        services.settings().maxBodyBytes(),
        body -> start(call, body),
        error -> services.answers().error(caller, error));
  }

  private void start(Call call, byte[] body) throws FallturnException {
    CompletionCall completion = parse(call.style(), body);
    ConfigurationImage image = services.configuration().get();
    ServiceName name = new ServiceName(completion.model());
    ServiceRecord service = CallerIdentity.service(image, name);
    RuleRecord rule = CallerIdentity.authorize(image, call.tenant(), name);
    if (!(service.target() instanceof ModelTarget target)) {
      throw new FallturnException(ErrorKind.NOT_FOUND, "service " + name + " is not a model");
    }
    RequestSpec spec = spec(call, completion, service, target, rule);
    AdmissionTicket ticket =
        services
            .admission()
            .admit(call.tenant().tenant(), name, (long) spec.promptTokens() + spec.maxTokens());
    long deadlineNanos =
        call.caller().startNanos() + call.headers().deadlineMillisFor(service) * NANOS_PER_MILLI;
    run(call, completion, spec, ticket, deadlineNanos);
  }

  private void run(
      Call call,
      CompletionCall completion,
      RequestSpec spec,
      AdmissionTicket ticket,
      long deadlineNanos) {
    CallerRequest caller = call.caller();
    SerialExecutor executor = new SerialExecutor();
    ModelExchange exchange =
        new ModelExchange(services, spec, executor, ticket, caller.startNanos(), deadlineNanos);
    CompletionFormat format =
        new CompletionFormat(
            call.style(),
            spec.requestId(),
            spec.service(),
            System.currentTimeMillis() / MILLIS_PER_SECOND);
    AnswerSink sink =
        completion.stream()
            ? new StreamedAnswer(caller, format, services, executor, exchange)
            : new WholeAnswer(caller, format, services.answers(), spec.promptTokens());
    caller.request().addIdleTimeoutListener(timeout -> false);
    caller.request().addFailureListener(failure -> exchange.onCallerFailure());
    exchange.start(sink);
  }

  private RequestSpec spec(
      Call call,
      CompletionCall completion,
      ServiceRecord service,
      ModelTarget target,
      RuleRecord rule)
      throws FallturnException {
    TenantRecord tenant = call.tenant();
    String scope = rule.cacheScope().isEmpty() ? tenant.tenant().value() : rule.cacheScope();
    List<String> tokens = PrefixBlocks.tokens(completion.prompt());
    return new RequestSpec(
        call.caller().requestId(),
        tenant.tenant(),
        tenant.shareWeight(),
        service.service(),
        target.model(),
        target.adapter(),
        scope,
        call.headers().urgencyUpTo(rule.maxUrgency()),
        completion.prompt(),
        tokens.size(),
        PrefixBlocks.hashes(scope, tokens),
        maxTokens(completion.maxTokens()),
        service.repeatable(),
        services.settings().maxAttempts());
  }

  private int maxTokens(Integer asked) throws FallturnException {
    int most = services.settings().maxOutputTokens();
    if (asked == null) {
      return Math.min(DEFAULT_MAX_TOKENS, most);
    }
    if (asked < 1 || asked > most) {
      throw new FallturnException(ErrorKind.INVALID_REQUEST, "max_tokens must be 1 to " + most);
    }
    return asked;
  }

  private CompletionCall parse(CompletionStyle style, byte[] body) throws FallturnException {
    try {
      return style == CompletionStyle.CHAT
          ? services.codec().decode(body, ChatBody.class).toCall()
          : services.codec().decode(body, CompletionBody.class).toCall();
    } catch (MalformedMessageException e) {
      throw new FallturnException(ErrorKind.INVALID_REQUEST, e.getMessage(), e);
    }
  }
}
