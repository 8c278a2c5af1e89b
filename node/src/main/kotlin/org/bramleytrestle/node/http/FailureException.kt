package org.bramleytrestle.node.http

import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure

/** Aborts an HTTP handler with [failure], which the listener sends as a problem document. */
internal class FailureException(val failure: Failure) : RuntimeException(failure.detail) {
    constructor(kind: ErrorKind, detail: String) : this(Failure(kind, detail))
}
