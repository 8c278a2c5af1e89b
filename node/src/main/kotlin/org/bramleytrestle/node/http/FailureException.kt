package org.bramleytrestle.node.http

import org.bramleytrestle.model.ErrorKind
import org.bramleytrestle.model.Failure

/** Leaves an HTTP handler with [failure]; the listener answers with its problem document. */
internal class FailureException(val failure: Failure) : RuntimeException(failure.detail) {
    constructor(kind: ErrorKind, detail: String) : this(Failure(kind, detail))
}
