// Package loomdesign is the goa design of the HTTP API of an instance. The
// packages below gen are generated from it. The design declares no errors:
// package loomerror maps each kind of error to its HTTP response.
package loomdesign

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("swiftloom", func() {
	Title("Swiftloom")
	Description("Serves language-model prompts whose prefixes recur after long gaps, and forwards calls to plain services.")
	Version("1")
})

// ChatMessage is one message of a chat request.
var ChatMessage = Type("Message", func() {
	Attribute("role", String, "Author of the message: system, user or assistant", func() { Enum("system", "user", "assistant") })
	Attribute("content", String, "Text of the message")
	Required("role", "content")
})

// CatalogueChange is the change of one catalogue entry in an edit. A change
// without a spec deletes the entry.
var CatalogueChange = Type("Change", func() {
	Attribute("kind", String, "Kind of the entry")
	Attribute("name", String, "Name of the entry within its kind")
	Attribute("spec", Any, "Complete new state of the entry; without it the entry is deleted")
	Required("kind", "name")
})

// requestHeaders maps the attributes of requestAttributes to HTTP headers.
func requestHeaders() {
	Header("authorization:Authorization")
	Header("idempotency_key:Idempotency-Key")
	Header("not_repeatable:X-Not-Repeatable")
	Header("deadline_ms:X-Deadline-Ms")
}

// requestAttributes defines the attributes that all requests to upstreams have.
func requestAttributes() {
	Attribute("authorization", String, "Bearer key of the client account")
	Attribute("idempotency_key", String, "Idempotency key; requests with the same key are executed at most once", func() { MaxLength(512) })
	Attribute("not_repeatable", Boolean, "Whether the request must be executed at most once")
	Attribute("deadline_ms", Int64, "Time in milliseconds that the caller waits for the answer")
}

// completionAttributes defines the attributes that completions and chats share.
func completionAttributes() {
	requestAttributes()
	Attribute("model", String, "Name of a model in the catalogue")
	Attribute("adapter", String, "Name of an adapter of the model")
	Attribute("max_tokens", UInt32, "Maximum number of tokens of the answer")
	Attribute("stream", Boolean, "Whether to send the tokens as server-sent events")
	Attribute("priority", UInt32, "Priority among the requests of the account; higher values are executed first")
	Required("model")
}

// answerResult defines the result of a method that writes the body itself.
func answerResult() {
	Attribute("content_type", String, "Media type of the answer")
	Attribute("request_id", String, "ID of the request in logs")
	Required("content_type", "request_id")
}

// answerHeaders maps the attributes of answerResult to HTTP headers.
func answerHeaders() {
	Header("content_type:Content-Type")
	Header("request_id:X-Request-Id")
}

var _ = Service("completions", func() {
	Description("Generates answers to prompts with the models in the catalogue.")
	Method("complete", func() {
		Payload(func() {
			completionAttributes()
			Attribute("prompt", String, "Text of the prompt")
			Required("prompt")
		})
		Result(answerResult)
		HTTP(func() {
			POST("/v1/completions")
			requestHeaders()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHeaders)
		})
	})
	Method("chat", func() {
		Payload(func() {
			completionAttributes()
			Attribute("messages", ArrayOf(ChatMessage), "Messages of the chat, oldest first", func() { MinLength(1) })
			Required("messages")
		})
		Result(answerResult)
		HTTP(func() {
			POST("/v1/chat/completions")
			requestHeaders()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHeaders)
		})
	})
})

var _ = Service("services", func() {
	Description("Forwards calls to plain services, and issues tickets, which are idempotency keys.")
	Method("ticket", func() {
		Description("Issues an idempotency key that is bound to one instance and can be used while the platform is unavailable.")
		Payload(func() {
			Attribute("authorization", String, "Bearer key of the client account")
		})
		Result(func() {
			Attribute("ticket", String, "Idempotency key, to be sent in the Idempotency-Key header")
			Attribute("expires_in_seconds", Int, "Time in seconds for which the key is valid")
			Required("ticket", "expires_in_seconds")
		})
		HTTP(func() {
			POST("/v1/tickets")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
	Method("call", func() {
		Payload(func() {
			requestAttributes()
			Attribute("name", String, "Name of the upstream group that provides the service")
			Attribute("path", String, "URL path at the service")
			Attribute("request_content_type", String, "Media type of the request body")
			Required("name", "path")
		})
		Result(answerResult)
		HTTP(func() {
			POST("/v1/services/{name}/{*path}")
			requestHeaders()
			Header("request_content_type:Content-Type")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHeaders)
		})
	})
})

var _ = Service("catalogue", func() {
	Description("Reads and edits the catalogue. All methods require the operator key.")
	Method("list", func() {
		Payload(func() {
			Attribute("authorization", String, "Operator key, as a bearer token")
			Attribute("kind", String, "Kind of the entries to return (default: all)")
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/catalogue")
			Header("authorization:Authorization")
			Param("kind")
			Response(StatusOK)
		})
	})
	Method("apply", func() {
		Payload(func() {
			Attribute("authorization", String, "Operator key, as a bearer token")
			Attribute("operator", String, "Name of the operator, for the audit trail", func() { MinLength(1) })
			Attribute("edit_id", String, "ID that identifies the edit when the call is repeated", func() { MinLength(1) })
			Attribute("base_revision", UInt64, "Revision that the edit is based on; a new edit is rejected if the catalogue is at another revision")
			Attribute("changes", ArrayOf(CatalogueChange), "Changes, which are applied atomically", func() { MinLength(1) })
			Required("operator", "edit_id", "base_revision", "changes")
		})
		Result(func() {
			Attribute("revision", UInt64, "Revision that the edit created")
			Required("revision")
		})
		HTTP(func() {
			POST("/v1/catalogue")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
	Method("history", func() {
		Payload(func() {
			Attribute("authorization", String, "Operator key, as a bearer token")
			Attribute("after", UInt64, "Revision after which records are returned (default: 0, all records)")
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/catalogue/history")
			Header("authorization:Authorization")
			Param("after")
			Response(StatusOK)
		})
	})
})

var _ = Service("health", func() {
	Description("Reports the liveness, the readiness and the state of the instance.")
	Method("live", func() {
		Result(String)
		HTTP(func() {
			GET("/healthz")
			Response(StatusOK)
		})
	})
	Method("ready", func() {
		Result(String)
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK)
		})
	})
	Method("status", func() {
		Payload(func() {
			Attribute("authorization", String, "Operator key, as a bearer token")
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/status")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
})
